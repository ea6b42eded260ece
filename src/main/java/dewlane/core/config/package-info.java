/**
 * The settings of a deployment and of its operators, as far as the core needs them.
 *
 * <p>Owns no state. Guards the rule that sizes keep within the present limits and those to come. Depends on no other
 * package.
 */
package dewlane.core.config;
