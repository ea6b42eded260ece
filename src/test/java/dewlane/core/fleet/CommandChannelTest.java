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
    private void branch(ChannelModel at, Consumer<ChannelModel> action) {
        ChannelModel next = new ChannelModel(at);
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

    private void expand(ChannelModel at) {
        sendCommand(at);
        for (WorkerTaskState started : STARTED) {
            for (CommandMessage command : at.commandsInFlight) {
                deliverCommand(at, command, started, true);
                deliverCommand(at, command, started, false);
            }
            deliverResponse(at, started);
        }
        timeOutCommand(at);
        sendHeartbeat(at);
        receiveHeartbeat(at);
        receiveDelayedHeartbeat(at);
        timeOutResponse(at);
        raiseFence(at);
        for (Task task : Task.values()) {
            endTaskOnWorker(at, task);
            storeTaskEnd(at, task);
        }
    }

    private void sendCommand(ChannelModel at) {
        if (at.controllerAwaitsAnswer || at.commandsInFlight.size() >= MAX_COMMANDS_IN_FLIGHT) {
            return;
        }
        ChannelModel next = new ChannelModel(at);
        CommandMessage commands = next.planCommands();
        if (commands.launches().isEmpty() && commands.forgets().isEmpty()) {
            return;
        }
        next.step(channel -> channel.onCommandSent(commands.launchKeys(), 0));
        next.commandsInFlight.add(commands);
        next.awaitedCommand = commands;
        next.controllerAwaitsAnswer = true;
        add(next);
    }

    /** A command arrives, in time or delayed. Its answer reaches a controller that still awaits it, or is lost. */
    private void deliverCommand(
            ChannelModel at, CommandMessage command, WorkerTaskState started, boolean answerArrives) {
        boolean isAwaited = at.awaitedCommand == command;
        if (answerArrives && !isAwaited) {
            return;
        }
        branch(at, next -> {
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

    private void timeOutCommand(ChannelModel at) {
        if (at.controllerAwaitsAnswer) {
            branch(at, next -> {
                next.controllerAwaitsAnswer = false;
                next.awaitedCommand = null;
                next.step(CommandChannel::onCommandTimedOut);
            });
        }
    }

    private void sendHeartbeat(ChannelModel at) {
        if (!at.workerAwaitsResponse) {
            branch(at, next -> {
                next.workerAwaitsResponse = true;
                next.heartbeat = next.nextHeartbeat();
            });
        }
    }

    private void receiveHeartbeat(ChannelModel at) {
        if (at.heartbeat != null) {
            branch(at, next -> {
                next.heartbeat = null;
                next.response = next.respondTo(at.heartbeat);
            });
        }
    }

    /** A heartbeat whose response the worker no longer awaits is handled like any other; the response is dropped. */
    private void receiveDelayedHeartbeat(ChannelModel at) {
        if (at.delayedHeartbeat != null) {
            branch(at, next -> {
                next.delayedHeartbeat = null;
                next.respondTo(at.delayedHeartbeat);
            });
        }
    }

    private void deliverResponse(ChannelModel at, WorkerTaskState started) {
        if (at.response != null) {
            branch(at, next -> {
                next.response = null;
                next.workerAwaitsResponse = false;
                next.execute(at.response, started);
            });
        }
    }

    /** The worker stops awaiting the response and drops it if it arrives later. */
    private void timeOutResponse(ChannelModel at) {
        if (at.workerAwaitsResponse) {
            branch(at, next -> {
                next.workerAwaitsResponse = false;
                next.response = null;
                next.delayedHeartbeat = at.heartbeat == null ? at.delayedHeartbeat : at.heartbeat;
                next.heartbeat = null;
            });
        }
    }

    /** Raises the fence, as happens when the machine is suspected unreachable. */
    private void raiseFence(ChannelModel at) {
        if (at.raisedFences < MAX_RAISED_FENCES) {
            branch(at, next -> {
                next.raisedFences++;
                next.step(CommandChannel::raiseFence);
            });
        }
    }

    private void endTaskOnWorker(ChannelModel at, Task task) {
        if (at.onWorker.get(task) == WorkerTaskState.RUNNING) {
            branch(at, next -> {
                next.onWorker.put(task, WorkerTaskState.ENDED);
            });
        }
    }

    private void storeTaskEnd(ChannelModel at, Task task) {
        if (at.stored.get(task) == StoredState.END_REPORTED) {
            branch(at, next -> {
                next.stored.put(task, StoredState.END_DURABLE);
            });
        }
    }
}
