/** The command line, the settings files, and the warm-up run whose classes the build archives for a faster start. */
package dewlane.cli;
