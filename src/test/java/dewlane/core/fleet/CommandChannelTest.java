package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.fleet.ChannelModel.CommandMessage;
import dewlane.core.fleet.ChannelModel.StoredState;
import dewlane.core.fleet.ChannelModel.Task;
import dewlane.core.fleet.ChannelModel.WorkerTaskState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Checks that no launch starts an attempt again after the worker was told to forget it. A delayed copy of the launch
 * would do so if the forget command carried a token that is not above the launch's.
 *
 * <p>Explores every order in which commands, heartbeats and responses of one machine with two attempts can be sent,
 * delivered, delayed, lost and timed out, with at most two commands in flight and one raised fence.
 */
class CommandChannelTest {
    private static final int MAX_COMMANDS_IN_FLIGHT = 2;
    private static final int MAX_RAISED_FENCES = 1;
    /** What a launch may lead to: the task runs, or it is refused or fails at once. */
    private static final List<WorkerTaskState> STARTED = List.of(WorkerTaskState.RUNNING, WorkerTaskState.ENDED);

    private final Set<String> visited = new HashSet<>();
    private final Deque<ChannelModel> pending = new ArrayDeque<>();
    private int bothForgotten;
    private int launchesAfterForget;
    private int actions;

    @Test
    void noOrderOfMessagesLaunchesForgottenAttemptAgain() {
        add(new ChannelModel());
        while (!pending.isEmpty()) {
            expand(pending.poll());
        }
        System.out.println("message interleavings of one machine with two attempts: " + visited.size() + " states by "
                + actions + " actions, in " + launchesAfterForget
                + " a launch is in flight of an attempt that was forgotten");
        assertTrue(bothForgotten > 0, "both attempts can end and be forgotten");
        assertTrue(launchesAfterForget > 0, "launches arrive after their attempt was forgotten");
    }

    /** Adds the model that results from an action on another model. */
    private void branch(ChannelModel model, Consumer<ChannelModel> action) {
        ChannelModel next = new ChannelModel(model);
        action.accept(next);
        add(next);
    }

    private void add(ChannelModel model) {
        actions++;
        String description = model.description();
        assertFalse(model.launchedAgain, () -> "an attempt was launched again: " + description);
        if (visited.add(description)) {
            pending.add(model);
            count(model);
        }
    }

    private void count(ChannelModel model) {
        bothForgotten += model.onWorker.values().stream().allMatch(state -> state == WorkerTaskState.FORGOTTEN) ? 1 : 0;
        boolean launchAfterForget = model.commandsInFlight.stream()
                .flatMap(command -> command.launches().stream())
                .anyMatch(task -> model.onWorker.get(task) == WorkerTaskState.FORGOTTEN);
        launchesAfterForget += launchAfterForget ? 1 : 0;
    }

    private void expand(ChannelModel model) {
        sendCommand(model);
        for (WorkerTaskState started : STARTED) {
            for (CommandMessage command : model.commandsInFlight) {
                deliverCommand(model, command, started, true);
                deliverCommand(model, command, started, false);
            }
            deliverResponse(model, started);
        }
        timeOutCommand(model);
        sendHeartbeat(model);
        receiveHeartbeat(model);
        receiveDelayedHeartbeat(model);
        timeOutResponse(model);
        raiseFence(model);
        for (Task task : Task.values()) {
            endTaskOnWorker(model, task);
            storeTaskEnd(model, task);
        }
    }

    private void sendCommand(ChannelModel model) {
        if (model.controllerAwaitsAnswer || model.commandsInFlight.size() >= MAX_COMMANDS_IN_FLIGHT) {
            return;
        }
        ChannelModel next = new ChannelModel(model);
        CommandMessage commands = next.planCommands();
        if (commands.launches().isEmpty() && commands.forgets().isEmpty()) {
            return;
        }
        next.step(channel -> channel.onCommandSent(commands.launchIds(), 0));
        next.commandsInFlight.add(commands);
        next.awaitedCommand = commands;
        next.controllerAwaitsAnswer = true;
        add(next);
    }

    /** A command arrives, in time or delayed. Its answer reaches a controller that still awaits it, or is lost. */
    private void deliverCommand(
            ChannelModel model, CommandMessage command, WorkerTaskState started, boolean answerArrives) {
        boolean isAwaited = model.awaitedCommand == command;
        if (answerArrives && !isAwaited) {
            return;
        }
        branch(model, next -> {
            next.commandsInFlight.remove(command);
            next.execute(command, started);
            if (isAwaited) {
                next.awaitedCommand = null;
            }
            if (answerArrives) {
                next.controllerAwaitsAnswer = false;
                next.step(CommandChannel::onCommandResolved);
                next.accept(next.nextHeartbeat());
            }
        });
    }

    private void timeOutCommand(ChannelModel model) {
        if (model.controllerAwaitsAnswer) {
            branch(model, next -> {
                next.controllerAwaitsAnswer = false;
                next.awaitedCommand = null;
                next.step(CommandChannel::onCommandTimedOut);
            });
        }
    }

    private void sendHeartbeat(ChannelModel model) {
        if (!model.workerAwaitsResponse) {
            branch(model, next -> {
                next.workerAwaitsResponse = true;
                next.heartbeat = next.nextHeartbeat();
            });
        }
    }

    private void receiveHeartbeat(ChannelModel model) {
        if (model.heartbeat != null) {
            branch(model, next -> {
                next.heartbeat = null;
                next.response = next.respondTo(model.heartbeat);
            });
        }
    }

    /** A heartbeat whose response the worker no longer awaits is handled like any other; the response is dropped. */
    private void receiveDelayedHeartbeat(ChannelModel model) {
        if (model.delayedHeartbeat != null) {
            branch(model, next -> {
                next.delayedHeartbeat = null;
                next.respondTo(model.delayedHeartbeat);
            });
        }
    }

    private void deliverResponse(ChannelModel model, WorkerTaskState started) {
        if (model.response != null) {
            branch(model, next -> {
                next.response = null;
                next.workerAwaitsResponse = false;
                next.execute(model.response, started);
            });
        }
    }

    /** The worker stops awaiting the response and drops it if it arrives later. */
    private void timeOutResponse(ChannelModel model) {
        if (model.workerAwaitsResponse) {
            branch(model, next -> {
                next.workerAwaitsResponse = false;
                next.response = null;
                next.delayedHeartbeat = model.heartbeat == null ? model.delayedHeartbeat : model.heartbeat;
                next.heartbeat = null;
            });
        }
    }

    /** Raises the fence, as happens when the machine is suspected unreachable. */
    private void raiseFence(ChannelModel model) {
        if (model.raisedFences < MAX_RAISED_FENCES) {
            branch(model, next -> {
                next.raisedFences++;
                next.step(CommandChannel::raiseFence);
            });
        }
    }

    private void endTaskOnWorker(ChannelModel model, Task task) {
        if (model.onWorker.get(task) == WorkerTaskState.RUNNING) {
            branch(model, next -> {
                next.onWorker.put(task, WorkerTaskState.ENDED);
            });
        }
    }

    private void storeTaskEnd(ChannelModel model, Task task) {
        if (model.stored.get(task) == StoredState.END_REPORTED) {
            branch(model, next -> {
                next.stored.put(task, StoredState.END_DURABLE);
            });
        }
    }
}
