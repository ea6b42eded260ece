package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** The network between controllers and workers as far as it carries direct commands, of which it may delay a share. */
final class SimCommandNetwork {
    private static final long REPLY_TIMEOUT_MS = 2500;
    private static final int MIN_DELAY_MS = 2000;
    private static final int MAX_DELAY_MS = 16_000;

    private final SimCluster cluster;
    private final List<Effect.SendCommands> inFlight = new ArrayList<>();
    /** The share of commands that are delayed by 2 to 16 s and executed without a reply. */
    double delayRate;
    /** Commands delayed so far, and those of them that arrived after their sender's incarnation had ended. */
    int delayed;

    int deliveredAfterSenderEnded;

    SimCommandNetwork(SimCluster cluster) {
        this.cluster = cluster;
    }

    /** True if a delayed command that launches the command's attempt on the machine is still in flight. */
    boolean hasLaunchInFlight(String machine, WorkerCommand forgetCommand) {
        WorkerCommand launch = new WorkerCommand(
                WorkerCommand.Action.LAUNCH, forgetCommand.job(), forgetCommand.task(), forgetCommand.attempt(), 0);
        return inFlight.stream()
                .anyMatch(command ->
                        command.machine().equals(machine) && command.commands().contains(launch));
    }

    void send(SimController sender, Effect.SendCommands command) {
        SimWorker worker = cluster.cloud.machines.get(command.machine());
        Input timeout = new Input.CommandCompleted(command.machine(), command.fencingToken(), true, null);
        if (worker == null) {
            cluster.after(REPLY_TIMEOUT_MS, () -> sender.receive(sender.incarnation, timeout));
            return;
        }
        int incarnation = sender.incarnation;
        RunOnce replyOrTimeout = new RunOnce();
        cluster.after(REPLY_TIMEOUT_MS, () -> replyOrTimeout.run(() -> sender.receive(incarnation, timeout)));
        if (sender.disconnectedFromWorkers) {
            return;
        }
        if (delayRate > 0 && cluster.chance(delayRate)) {
            sendDelayed(sender, worker, command);
        } else {
            sendInTime(sender, worker, command, replyOrTimeout);
        }
    }

    private void sendDelayed(SimController sender, SimWorker worker, Effect.SendCommands command) {
        int incarnation = sender.incarnation;
        long sentAt = cluster.now();
        delayed++;
        inFlight.add(command);
        cluster.after(cluster.randomBetween(MIN_DELAY_MS, MAX_DELAY_MS), () -> {
            inFlight.remove(command);
            deliveredAfterSenderEnded += sender.incarnation == incarnation ? 0 : 1;
            worker.deliverCommand(sender.name, () -> execute(sender, worker, command, sentAt), () -> {});
        });
    }

    private void sendInTime(
            SimController sender, SimWorker worker, Effect.SendCommands command, RunOnce replyOrTimeout) {
        int incarnation = sender.incarnation;
        long sentAt = cluster.now();
        Runnable reply = () -> cluster.deliver(() -> {
            if (!sender.disconnectedFromWorkers) {
                replyOrTimeout.run(() -> sender.receive(
                        incarnation,
                        new Input.CommandCompleted(
                                command.machine(), command.fencingToken(), true, worker.nextHeartbeat())));
            }
        });
        cluster.deliver(
                () -> worker.deliverCommand(sender.name, () -> execute(sender, worker, command, sentAt), reply));
    }

    /** Lets the worker execute a command, copies of which may then arrive again; nobody awaits their answers. */
    private void execute(SimController sender, SimWorker worker, Effect.SendCommands command, long sentAt) {
        worker.execute(command, sentAt);
        cluster.repeats.onCarriedOut(
                () -> worker.deliverCommand(sender.name, () -> worker.execute(command, sentAt), worker::nextHeartbeat));
    }
}
