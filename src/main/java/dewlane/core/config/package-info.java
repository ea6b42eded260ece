/**
 * Settings of the deployment and its operators, as far as the core needs them.
 *
 * <p>Holds no mutable state. Ensures that the sizes of values and transactions stay within both the limits that the
 * store has now and the limits announced for later. Depends on no other package.
 */
package dewlane.core.config;
