/** The command line, the settings files, and the warm-up that the build's class archive is made from. */
package dewlane.cli;
