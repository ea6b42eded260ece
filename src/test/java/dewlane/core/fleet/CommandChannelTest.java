package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.fleet.ChannelModel.Message;
import dewlane.core.fleet.ChannelModel.OnWorker;
import dewlane.core.fleet.ChannelModel.Recorded;
import dewlane.core.fleet.ChannelModel.Task;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Plays every order in which commands, reports and answers about one machine with two attempts may be sent, delivered,
 * delivered late, lost and given up on, with two commands under way and one raised fence at most, and looks whether an
 * attempt is launched again after the worker was told to forget it.
 */
class CommandChannelTest {
    private static final int MAX_COMMANDS_UNDER_WAY = 2;
    private static final int MAX_RAISED_FENCES = 1;
    /** What a launch may bring about: the task runs, or is refused or fails at once. */
    private static final List<OnWorker> STARTED = List.of(OnWorker.RUNNING, OnWorker.ENDED);

    private final Set<String> seen = new HashSet<>();
    private final Deque<ChannelModel> open = new ArrayDeque<>();
    private int bothForgotten;
    private int forgottenBeforeLaunch;
    private int actions;

    @Test
    void noOrderOfMessagesLaunchesForgottenAttemptAgain() {
        add(new ChannelModel());
        while (!open.isEmpty()) {
            expand(open.poll());
        }
        System.out.println("interleavings of one machine and two attempts: " + seen.size() + " states by " + actions
                + " actions, in " + forgottenBeforeLaunch + " a launch is under way of an attempt that was forgotten");
        assertTrue(bothForgotten > 0, "both attempts can end and be forgotten");
        assertTrue(forgottenBeforeLaunch > 0, "launches arrive after their attempt was forgotten");
    }

    /** Looks at the model that an action makes of another one. */
    private void branch(ChannelModel at, Consumer<ChannelModel> action) {
        ChannelModel next = new ChannelModel(at);
        action.accept(next);
        add(next);
    }

    private void add(ChannelModel model) {
        actions++;
        String description = model.description();
        assertFalse(model.launchedAgain, () -> "an attempt was launched again: " + description);
        if (seen.add(description)) {
            open.add(model);
            count(model);
        }
    }

    private void count(ChannelModel model) {
        bothForgotten += model.worker.values().stream().allMatch(on -> on == OnWorker.FORGOTTEN) ? 1 : 0;
        boolean late = model.commands.stream()
                .flatMap(command -> command.launches().stream())
                .anyMatch(task -> model.worker.get(task) == OnWorker.FORGOTTEN);
        forgottenBeforeLaunch += late ? 1 : 0;
    }

    private void expand(ChannelModel at) {
        sendCommand(at);
        for (OnWorker started : STARTED) {
            for (Message command : at.commands) {
                deliverCommand(at, command, started, true);
                deliverCommand(at, command, started, false);
            }
            deliverAnswer(at, started);
        }
        giveUpOnCommand(at);
        sendReport(at);
        takeReport(at);
        takeLateReport(at);
        giveUpOnAnswer(at);
        raiseFence(at);
        for (Task task : Task.values()) {
            endOnWorker(at, task);
            writeEnd(at, task);
        }
    }

    private void sendCommand(ChannelModel at) {
        if (at.controllerWaits || at.commands.size() >= MAX_COMMANDS_UNDER_WAY) {
            return;
        }
        ChannelModel next = new ChannelModel(at);
        Message orders = next.orders();
        if (orders.launches().isEmpty() && orders.forgets().isEmpty()) {
            return;
        }
        next.step(channel -> channel.onCommandSent(orders.launchKeys(), 0));
        next.commands.add(orders);
        next.awaited = orders;
        next.controllerWaits = true;
        add(next);
    }

    /** A command arrives, on time or late; its answer reaches a controller that still waits, or is lost. */
    private void deliverCommand(ChannelModel at, Message command, OnWorker started, boolean answerArrives) {
        boolean awaited = at.awaited == command;
        if (answerArrives && !awaited) {
            return;
        }
        branch(at, next -> {
            next.commands.remove(command);
            next.execute(command, started);
            if (awaited) {
                next.awaited = null;
            }
            if (answerArrives) {
                next.controllerWaits = false;
                next.step(CommandChannel::onCommandResolved);
                next.take(next.newReport());
            }
        });
    }

    private void giveUpOnCommand(ChannelModel at) {
        if (at.controllerWaits) {
            branch(at, next -> {
                next.controllerWaits = false;
                next.awaited = null;
                next.step(CommandChannel::onCommandTimedOut);
            });
        }
    }

    private void sendReport(ChannelModel at) {
        if (!at.workerWaits) {
            branch(at, next -> {
                next.workerWaits = true;
                next.report = next.newReport();
            });
        }
    }

    private void takeReport(ChannelModel at) {
        if (at.report != null) {
            branch(at, next -> {
                next.report = null;
                next.answer = next.answerTo(at.report);
            });
        }
    }

    /** A report that the worker no longer waits for is answered as any other, and nobody hears it. */
    private void takeLateReport(ChannelModel at) {
        if (at.lateReport != null) {
            branch(at, next -> {
                next.lateReport = null;
                next.answerTo(at.lateReport);
            });
        }
    }

    private void deliverAnswer(ChannelModel at, OnWorker started) {
        if (at.answer != null) {
            branch(at, next -> {
                next.answer = null;
                next.workerWaits = false;
                next.execute(at.answer, started);
            });
        }
    }

    /** The worker's time for an answer is over: it drops one that comes later. */
    private void giveUpOnAnswer(ChannelModel at) {
        if (at.workerWaits) {
            branch(at, next -> {
                next.workerWaits = false;
                next.answer = null;
                next.lateReport = at.report == null ? at.lateReport : at.report;
                next.report = null;
            });
        }
    }

    /** As when the machine is suspected not to hear. */
    private void raiseFence(ChannelModel at) {
        if (at.fences < MAX_RAISED_FENCES) {
            branch(at, next -> {
                next.fences++;
                next.step(CommandChannel::raiseFence);
            });
        }
    }

    private void endOnWorker(ChannelModel at, Task task) {
        if (at.worker.get(task) == OnWorker.RUNNING) {
            branch(at, next -> {
                next.worker.put(task, OnWorker.ENDED);
            });
        }
    }

    private void writeEnd(ChannelModel at, Task task) {
        if (at.recorded.get(task) == Recorded.END_REPORTED) {
            branch(at, next -> {
                next.recorded.put(task, Recorded.END_DURABLE);
            });
        }
    }
}
