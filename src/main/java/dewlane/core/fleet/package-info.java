/**
 * The machines and what may be running on them: attempts, resource usage, the command channel to each worker, and the
 * writes that are in flight for each job.
 *
 * <p>{@code MachineRegistry} is the facade: it passes changes of the replica on to the components that follow them. A
 * {@code Machine} is composed of components with one job each; {@code worker} updates them from heartbeats.
 *
 * <p>Guards the rules that fencing tokens are never used twice, and that an attempt is forgotten only once no copy of
 * its launch can arrive. May depend on {@code membership} and below.
 */
package dewlane.core.fleet;
