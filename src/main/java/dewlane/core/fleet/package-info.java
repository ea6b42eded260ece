/**
 * The machines and the tasks that may be running on them: attempts, resource usage, the command channel to each worker,
 * and the writes in flight for each job.
 *
 * <p>{@code MachineRegistry} is the facade: it forwards changes of the replica to the components that track them. A
 * {@code Machine} is composed of components with one responsibility each; {@code worker} updates them from heartbeats.
 *
 * <p>This package ensures that a fencing token is never used twice, and that a worker is told to forget an attempt only
 * with a token that makes it refuse every copy of the attempt's launch. It may depend on {@code membership} and the
 * packages below it.
 */
package dewlane.core.fleet;
