package dewlane.core.admission;

import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.scheduling.SliceAssigner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes submissions: decides whether a job can run at all, whether the jobs that it awaits were ever accepted, and
 * writes it.
 */
public final class SubmissionHandler {
    /** When those come back whose submission is more than can be written. */
    private static final int OVERLOAD_RETRY_S = 4;
    /** When those come back who ask for what an older version that still runs does not know. */
    private static final int UPGRADE_RETRY_S = 5;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final SliceAssigner distributor;
    private final DependencyTracker dependencies;
    private final ReadBarrier barrier;
    private final JobResultReader finals;
    private final JobRequestHandler users;
    private final UserResponses replies;
    private final ValueSizer size;

    public SubmissionHandler(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            TransactionQueue transactions,
            SliceAssigner distributor,
            DependencyTracker dependencies,
            ReadBarrier barrier,
            JobResultReader finals,
            JobRequestHandler users,
            ValueSizer size) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        this.distributor = distributor;
        this.dependencies = dependencies;
        this.barrier = barrier;
        this.finals = finals;
        this.users = users;
        this.replies = new UserResponses(context);
        this.size = size;
    }

    public void submit(Input.SubmitJob in) {
        if (in.uid() == null) {
            replies.refused(in.id(), 400, in.reason());
            return;
        }
        if (replica.job(in.uid()) != null || replica.fin(in.uid()) != null) {
            // A job that is known stays known, whatever the body of a retry says.
            users.lookUp(in.id(), in.uid(), () -> take(in));
            return;
        }
        if (in.job() == null) {
            // No accepted job was malformed, but only the state service knows of all that are over. Where it does not
            // answer, a body that could never be accepted is told so all the same.
            users.lookUp(in.id(), in.uid(), () -> take(in), () -> replies.refused(in.id(), 400, in.reason()));
            return;
        }
        String unfit = unfit(in.job());
        if (unfit != null) {
            reject(in, unfit);
        } else if (machines.types().isEmpty() || !membership.joined()) {
            replies.later(in.id(), "not ready, try again");
        } else {
            take(in);
        }
    }

    /** Refuses a job that can never run, unless it was accepted earlier. */
    private void reject(Input.SubmitJob in, String reason) {
        users.lookUp(in.id(), in.uid(), () -> replies.refused(in.id(), 422, reason));
    }

    private void take(Input.SubmitJob in) {
        if (in.job() == null) {
            replies.refused(in.id(), 400, in.reason());
        } else if (!membership.joined()) {
            replies.later(in.id(), "not ready, try again");
        } else if (in.job().awaits().isEmpty()) {
            accept(in, Map.of());
        } else if (!membership.allUpgraded()) {
            replies.later(
                    in.id(), "not every controller has shown yet that it is upgraded, try again", UPGRADE_RETRY_S);
        } else if (in.job().awaits().contains(in.uid())) {
            reject(in, "the job awaits itself");
        } else if (unknown(in.job(), Map.of()).isEmpty()) {
            accept(in, Map.of());
        } else {
            // Another controller may have accepted what is awaited a moment ago.
            barrier.await(() -> lookUpAwaited(in, new HashMap<>()), () -> replies.unavailable(in.id()));
        }
    }

    /** Awaited jobs of which neither the replica nor a read says that they were accepted. */
    private List<String> unknown(Job job, Map<String, JobResult> read) {
        List<String> unknown = new ArrayList<>();
        for (String id : job.awaits()) {
            if (replica.recorded(id) == null && result(id, read) == null) {
                unknown.add(id);
            }
        }
        return unknown;
    }

    /** The final state of an awaited job, if it is known. */
    private JobResult result(String id, Map<String, JobResult> read) {
        JobResult known = replica.fin(id);
        return known == null ? read.get(id) : known;
    }

    /** The replica holds all that was accepted and is not over; the others have a final state, or never were. */
    private void lookUpAwaited(Input.SubmitJob in, Map<String, JobResult> read) {
        List<String> unknown = unknown(in.job(), read);
        if (unknown.isEmpty()) {
            accept(in, read);
            return;
        }
        String next = unknown.get(0);
        if (replica.isHeld(next)) {
            replies.later(in.id(), "the state of " + next + " cannot be read, try again");
            return;
        }
        boolean asked = finals.read(next, new JobResultReader.Listener() {
            @Override
            public void found(JobResult result) {
                read.put(next, result);
                lookUpAwaited(in, read);
            }

            @Override
            public void absent() {
                reject(in, "awaits " + next + ", which was never accepted");
            }

            @Override
            public void noAnswer() {
                replies.unavailable(in.id());
            }
        });
        if (!asked) {
            // What was read so far is remembered, so the next try has less to look up.
            replies.later(in.id(), "too many questions, try again");
        }
    }

    private void accept(Input.SubmitJob in, Map<String, JobResult> read) {
        Job job = in.job().withAccepted(context.wall()).withAwaits(notDone(in.job(), read));
        if (cancelledFromTheStart(job, read)) {
            acceptCancelled(in, job);
            return;
        }
        JobRecord record = new JobRecord(job, distributor.deal(job), 0);
        int most = context.settings().valueBytes();
        if (size.bytes(record) > most) {
            record = new JobRecord(job, distributor.dealWhole(job), 0);
        }
        if (size.bytes(record) > most) {
            rejectTooLarge(in, most);
            return;
        }
        if (!transactions.admitsUser()) {
            replies.later(in.id(), "too many submissions, try again", OVERLOAD_RETRY_S);
            return;
        }
        Transaction.Builder txn = newJob(job.id()).set(StoreKeys.job(job.id()), record);
        write(in, txn, () -> replies.accepted(in.id(), job.id(), JobCondition.PENDING));
    }

    /** A job whose record fits no value is malformed for this service: its lists or names are too long. */
    private void rejectTooLarge(Input.SubmitJob in, int most) {
        String reason = "the job, with " + in.job().awaits().size()
                + " awaited jobs, does not fit into a stored value of " + most + " bytes";
        users.lookUp(in.id(), in.uid(), () -> replies.refused(in.id(), 400, reason));
    }

    /** What is known to be done need not be awaited, and not be looked up again after a restart. */
    private List<String> notDone(Job job, Map<String, JobResult> read) {
        List<String> left = new ArrayList<>();
        for (String id : job.awaits()) {
            JobResult result = result(id, read);
            if (result == null || result.aborted()) {
                left.add(id);
            }
        }
        return left;
    }

    private boolean cancelledFromTheStart(Job job, Map<String, JobResult> read) {
        for (String id : job.awaits()) {
            JobEntry entry = replica.recorded(id);
            JobResult result = result(id, read);
            if (result != null && result.aborted() || entry != null && dependencies.cancelled(entry)) {
                return true;
            }
        }
        return false;
    }

    /** A job that names a cancelled one is accepted all the same. It is over, so its final state is all there is. */
    private void acceptCancelled(Input.SubmitJob in, Job job) {
        if (!transactions.admitsUser()) {
            replies.later(in.id(), "too many submissions, try again", OVERLOAD_RETRY_S);
            return;
        }
        JobResult result = new JobResult(true, context.wall());
        Transaction.Builder txn = newJob(job.id()).set(StoreKeys.fin(job.id()), result);
        write(in, txn, () -> {
            context.info("job " + job.id() + " is cancelled from the start, through one that it awaits");
            replica.rememberFinal(job.id(), result);
            replies.accepted(in.id(), job.id(), JobCondition.ABORTED);
        });
    }

    private static Transaction.Builder newJob(String id) {
        return new Transaction.Builder().when(StoreKeys.job(id), 0).when(StoreKeys.fin(id), 0);
    }

    private void write(Input.SubmitJob in, Transaction.Builder txn, Runnable accepted) {
        transactions.submit(TransactionQueue.Urgency.USER, txn.build(), (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                accepted.run();
            } else if (status == Transaction.Status.CONFLICT) {
                users.lookUp(in.id(), in.uid(), () -> replies.later(in.id(), "try again"));
            } else {
                replies.unavailable(in.id());
            }
        });
    }

    /** Why the job can never run, or null. */
    private String unfit(Job job) {
        Settings.TeamQuota team = context.settings().teams().get(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        if ((team.cpusMax() > 0 && job.cpus() > team.cpusMax() + 1e-9)
                || (team.gpusMax() > 0 && job.gpus() > team.gpusMax() + 1e-9)) {
            return "a task needs more than the limit of " + job.team();
        }
        for (MachineType t : machines.types()) {
            boolean zoned = job.zone() == null || t.zones().contains(job.zone());
            if (job.allowsType(t.name()) && zoned && t.fits(job) > 0) {
                return null;
            }
        }
        return machines.types().isEmpty() ? null : "a task fits no allowed machine type";
    }
}
