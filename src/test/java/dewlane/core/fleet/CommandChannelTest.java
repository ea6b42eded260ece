package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.fleet.ChannelModel.StoredState;
import dewlane.core.fleet.ChannelWorkerModel.CommandMessage;
import dewlane.core.fleet.ChannelWorkerModel.Task;
import dewlane.core.fleet.ChannelWorkerModel.TaskState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Checks that no launch starts an attempt again after the worker was told to forget it. A late or repeated copy of the
 * launch would do so if the forget command carried a token that is not above the launch's.
 *
 * <p>Explores every order in which commands, heartbeats and responses of one machine with two attempts can be sent,
 * delivered, delayed, repeated, lost and timed out, with one change of the owner and one fence raised by a suspicion;
 * the owner may raise the fence whenever a forget is deferred, or not. Every direct command that was sent may be
 * carried out again at any later time, answered or not.
 */
class CommandChannelTest {
    private static final int MAX_RAISED_FENCES = 1;
    private static final int MAX_OWNER_CHANGES = 1;
    /** What a launch may lead to: the task runs, or it is refused or fails at once. */
    private static final List<TaskState> STARTED = List.of(TaskState.RUNNING, TaskState.ENDED);

    private final Set<String> visited = new HashSet<>();
    private final Deque<ChannelModel> pending = new ArrayDeque<>();
    private int bothForgotten;
    private int refusedRelaunches;
    private int actions;

    @Test
    void noOrderOfMessagesLaunchesForgottenAttemptAgain() {
        add(new ChannelModel());
        while (!pending.isEmpty()) {
            expand(pending.poll());
        }
        System.out.println("message interleavings of one machine with two attempts: " + visited.size() + " states by "
                + actions + " actions, in " + refusedRelaunches
                + " the worker refuses a launch of an attempt that it has forgotten");
        assertTrue(bothForgotten > 0, "both attempts can end and be forgotten");
        assertTrue(refusedRelaunches > 0, "launches of forgotten attempts are refused");
    }

    /** Adds the model that results from an action on another model. */
    private void branch(ChannelModel model, String description, Consumer<ChannelModel> action) {
        ChannelModel next = new ChannelModel(model, description);
        action.accept(next);
        add(next);
    }

    private void add(ChannelModel model) {
        actions++;
        assertFalse(model.worker.launchedAgain, () -> "an attempt was launched again:\n" + model.trace());
        boolean refusesRelaunch = model.dropRefusedCommands();
        if (visited.add(model.description())) {
            pending.add(model);
            boolean allForgotten = model.worker.tasks.values().stream().allMatch(state -> state == TaskState.FORGOTTEN);
            bothForgotten += allForgotten ? 1 : 0;
            refusedRelaunches += refusesRelaunch ? 1 : 0;
        }
    }

    private void expand(ChannelModel model) {
        sendCommand(model);
        for (TaskState started : STARTED) {
            for (CommandMessage command : model.sentCommands) {
                deliverCommand(model, command, started);
            }
            deliverAwaitedCommandAndAnswer(model, started);
            deliverResponse(model, started);
        }
        timeOutCommand(model);
        sendHeartbeat(model);
        receiveHeartbeat(model);
        receiveDelayedHeartbeat(model);
        timeOutResponse(model);
        raiseFenceForSuspicion(model);
        raiseFenceForForget(model);
        changeOwner(model);
        for (Task task : Task.values()) {
            endTaskOnWorker(model, task);
            storeTaskEnd(model, task);
        }
    }

    private void sendCommand(ChannelModel model) {
        if (model.awaitedCommand != null) {
            return;
        }
        ChannelModel next = new ChannelModel(model, "send a command");
        CommandMessage commands = next.planCommands();
        if (commands.launches().isEmpty() && commands.forgets().isEmpty()) {
            return;
        }
        next.send(commands);
        add(next);
    }

    /** A command arrives, for the first time or again, in time or late. No answer reaches the owner. */
    private void deliverCommand(ChannelModel model, CommandMessage command, TaskState started) {
        branch(model, "the worker executes " + command + ", started tasks: " + started, next -> {
            next.worker.execute(command, started);
        });
    }

    /** The awaited command arrives, and the owner receives the answer. */
    private void deliverAwaitedCommandAndAnswer(ChannelModel model, TaskState started) {
        CommandMessage command = model.awaitedCommand;
        if (command == null) {
            return;
        }
        branch(model, "the worker executes and answers " + command + ", started tasks: " + started, next -> {
            next.worker.execute(command, started);
            next.awaitedCommand = null;
            next.step(CommandChannel::onCommandCompleted);
            next.accept(next.worker.nextHeartbeat());
        });
    }

    private void timeOutCommand(ChannelModel model) {
        if (model.awaitedCommand != null) {
            branch(model, "the command times out", next -> {
                next.awaitedCommand = null;
                next.step(CommandChannel::onCommandCompleted);
            });
        }
    }

    private void sendHeartbeat(ChannelModel model) {
        if (!model.workerAwaitsResponse) {
            branch(model, "the worker sends a heartbeat", next -> {
                next.workerAwaitsResponse = true;
                next.heartbeat = next.worker.nextHeartbeat();
            });
        }
    }

    private void receiveHeartbeat(ChannelModel model) {
        if (model.heartbeat != null) {
            branch(model, "the owner receives the heartbeat", next -> {
                next.heartbeat = null;
                next.response = next.respondTo(model.heartbeat);
            });
        }
    }

    /** A heartbeat whose response the worker no longer awaits is handled like any other; the response is dropped. */
    private void receiveDelayedHeartbeat(ChannelModel model) {
        if (model.delayedHeartbeat != null) {
            branch(model, "the owner receives a delayed heartbeat", next -> {
                next.delayedHeartbeat = null;
                next.respondTo(model.delayedHeartbeat);
            });
        }
    }

    private void deliverResponse(ChannelModel model, TaskState started) {
        if (model.response != null) {
            branch(model, "the worker executes the response " + model.response, next -> {
                next.response = null;
                next.workerAwaitsResponse = false;
                next.worker.execute(model.response, started);
            });
        }
    }

    /** The worker stops awaiting the response and drops it if it arrives later. */
    private void timeOutResponse(ChannelModel model) {
        if (model.workerAwaitsResponse) {
            branch(model, "the worker stops awaiting the response", next -> {
                next.workerAwaitsResponse = false;
                next.response = null;
                next.delayedHeartbeat = model.heartbeat == null ? model.delayedHeartbeat : model.heartbeat;
                next.heartbeat = null;
            });
        }
    }

    /** Whenever a forget is deferred, the owner may raise the fence. */
    private void raiseFenceForForget(ChannelModel model) {
        if (model.isForgetDeferred()) {
            branch(model, "the fence is raised for a forget", next -> next.step(CommandChannel::raiseFence));
        }
    }

    private void raiseFenceForSuspicion(ChannelModel model) {
        if (model.raisedFences < MAX_RAISED_FENCES) {
            branch(model, "the fence is raised for a suspicion", next -> {
                next.raisedFences++;
                next.step(CommandChannel::raiseFence);
            });
        }
    }

    private void changeOwner(ChannelModel model) {
        if (model.ownerChanges < MAX_OWNER_CHANGES) {
            branch(model, "another controller becomes the owner", ChannelModel::changeOwner);
        }
    }

    private void endTaskOnWorker(ChannelModel model, Task task) {
        if (model.worker.tasks.get(task) == TaskState.RUNNING) {
            branch(model, "task " + task + " ends", next -> next.worker.tasks.put(task, TaskState.ENDED));
        }
    }

    private void storeTaskEnd(ChannelModel model, Task task) {
        if (model.stored.get(task) == StoredState.END_REPORTED) {
            branch(model, "the end of task " + task + " is durable", next -> {
                next.stored.put(task, StoredState.END_DURABLE);
            });
        }
    }
}
