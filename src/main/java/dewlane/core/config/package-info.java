/**
 * The settings of a deployment and of its operators, as far as the core needs them.
 *
 * <p>Owns no state. Depends on no other package.
 */
package dewlane.core.config;
