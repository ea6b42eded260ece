package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A controller and a worker with two attempts, joined by a {@link CommandChannel}, at one moment: what is recorded,
 * what is on the worker, and all messages under way. It is copied, changed by one action, and then left alone.
 */
final class ChannelModel {
    /** The attempts, both launched under the first token. */
    enum Task {
        ONE,
        TWO;

        AttemptId key() {
            return new AttemptId("wk-1", ordinal(), 1);
        }
    }

    /** What the store says of an attempt, as the controller has read it. */
    enum Recorded {
        LIVE,
        END_REPORTED,
        END_DURABLE
    }

    /** What the worker has of an attempt. */
    enum OnWorker {
        NEVER_SEEN,
        RUNNING,
        ENDED,
        FORGOTTEN
    }

    /** Orders under way to the worker. */
    record Message(long token, Set<Task> launches, Set<Task> forgets) {
        Set<AttemptId> launchKeys() {
            Set<AttemptId> keys = new HashSet<>();
            launches.forEach(task -> keys.add(task.key()));
            return keys;
        }
    }

    /** A report under way. */
    record WorkerReport(long sequence, long tokenSeen, Map<Task, OnWorker> tasks) {}

    /** What has been done with the channel since the beginning; it is made anew from that for each model. */
    private final List<Consumer<CommandChannel>> steps = new ArrayList<>();

    final Map<Task, Recorded> recorded = new EnumMap<>(Task.class);
    final Map<Task, OnWorker> worker = new EnumMap<>(Task.class);
    final Map<Task, OnWorker> reported = new EnumMap<>(Task.class);
    final List<Message> commands = new ArrayList<>();
    /** The command whose answer the controller awaits, or null if it awaits none or that one's answer is lost. */
    Message awaited;

    boolean controllerWaits;
    /** The report on its way, or the answer to it; the worker waits for that, and at most one is there. */
    WorkerReport report;

    Message answer;
    boolean workerWaits;
    /** A report that the worker has given up on and that still arrives. */
    WorkerReport lateReport;

    int fences;
    boolean launchedAgain;
    private long tokenSeen;
    private long sequence;
    private long sequenceTaken;

    ChannelModel() {
        for (Task task : Task.values()) {
            recorded.put(task, Recorded.LIVE);
            worker.put(task, OnWorker.NEVER_SEEN);
        }
        step(channel -> channel.acquire(1));
    }

    ChannelModel(ChannelModel from) {
        steps.addAll(from.steps);
        recorded.putAll(from.recorded);
        worker.putAll(from.worker);
        reported.putAll(from.reported);
        commands.addAll(from.commands);
        awaited = from.awaited;
        controllerWaits = from.controllerWaits;
        report = from.report;
        answer = from.answer;
        workerWaits = from.workerWaits;
        lateReport = from.lateReport;
        tokenSeen = from.tokenSeen;
        sequence = from.sequence;
        sequenceTaken = from.sequenceTaken;
        fences = from.fences;
    }

    private CommandChannel channel() {
        CommandChannel channel = new CommandChannel();
        steps.forEach(step -> step.accept(channel));
        return channel;
    }

    void step(Consumer<CommandChannel> step) {
        steps.add(step);
    }

    /** Two models with the same description have the same future. */
    String description() {
        CommandChannel channel = channel();
        CommandChannel withoutCommand = channel();
        withoutCommand.onCommandResolved();
        CommandChannel withoutAnswer = channel();
        withoutAnswer.onResponseResolved();
        StringBuilder text = new StringBuilder();
        text.append(recorded).append(worker).append(reported).append(commands).append(controllerWaits);
        text.append(awaited == null ? -1 : commands.indexOf(awaited));
        text.append(describe(report)).append(answer).append(workerWaits).append(describe(lateReport));
        text.append(tokenSeen).append(fences).append(channel.fencingToken()).append(channel.isCommandInFlight());
        for (Task task : Task.values()) {
            text.append(channel.isLaunchAbandoned(task.key()))
                    .append(withoutCommand.isLaunchInFlight(task.key()))
                    .append(withoutAnswer.isLaunchInFlight(task.key()));
        }
        return text.toString();
    }

    private String describe(WorkerReport of) {
        return of == null ? "-" : isNews(of) + " " + of.tokenSeen + of.tasks;
    }

    private boolean isNews(WorkerReport of) {
        return of.sequence > sequenceTaken;
    }

    /** What the planner of orders sends, with the rule for forgetting that it asks the channel for. */
    Message orders() {
        Set<Task> launches = new HashSet<>();
        Set<Task> forgets = new HashSet<>();
        for (Task task : Task.values()) {
            if (recorded.get(task) == Recorded.END_DURABLE && reported.get(task) == OnWorker.ENDED) {
                forgets.add(task);
            }
        }
        CommandChannel before = channel();
        if (forgets.stream().anyMatch(task -> before.isLaunchAbandoned(task.key()))) {
            step(CommandChannel::raiseFence);
        }
        CommandChannel channel = channel();
        forgets.removeIf(task -> channel.isLaunchInFlight(task.key()));
        for (Task task : Task.values()) {
            if (channel.fencingToken() == firstToken()
                    && recorded.get(task) == Recorded.LIVE
                    && !reported.containsKey(task)) {
                launches.add(task);
            }
        }
        return new Message(channel.fencingToken(), launches, forgets);
    }

    private static long firstToken() {
        CommandChannel channel = new CommandChannel();
        channel.acquire(1);
        return channel.fencingToken();
    }

    /** The worker carries out orders; a task that they launch runs, or ends at once. */
    void execute(Message orders, OnWorker started) {
        if (orders.token() < tokenSeen) {
            return;
        }
        tokenSeen = orders.token();
        for (Task task : orders.launches()) {
            launchedAgain |= worker.get(task) == OnWorker.FORGOTTEN;
            if (worker.get(task) == OnWorker.NEVER_SEEN) {
                worker.put(task, started);
            }
        }
        for (Task task : orders.forgets()) {
            if (worker.get(task) == OnWorker.ENDED) {
                worker.put(task, OnWorker.FORGOTTEN);
            }
        }
    }

    WorkerReport newReport() {
        Map<Task, OnWorker> tasks = new EnumMap<>(Task.class);
        worker.forEach((task, on) -> {
            if (on == OnWorker.RUNNING || on == OnWorker.ENDED) {
                tasks.put(task, on);
            }
        });
        return new WorkerReport(++sequence, tokenSeen, tasks);
    }

    /** The controller takes a report, unless it is older than one that it has taken. */
    boolean take(WorkerReport taken) {
        if (!isNews(taken)) {
            return false;
        }
        sequenceTaken = taken.sequence;
        reported.clear();
        reported.putAll(taken.tasks);
        for (Task task : Task.values()) {
            boolean ended = taken.tasks.get(task) == OnWorker.ENDED;
            boolean gone = !taken.tasks.containsKey(task) && taken.tokenSeen > firstToken();
            if (recorded.get(task) == Recorded.LIVE && (ended || gone)) {
                recorded.put(task, Recorded.END_REPORTED);
            }
        }
        return true;
    }

    /** The controller takes a report and answers it; null if it refuses it. */
    Message answerTo(WorkerReport taken) {
        if (!take(taken)) {
            return null;
        }
        step(CommandChannel::onResponseResolved);
        Message orders = orders();
        step(channel -> channel.onResponseSent(orders.launchKeys()));
        return orders;
    }
}
