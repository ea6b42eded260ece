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
import dewlane.core.schema.TransactionPriority;
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

    /** Checks a submission, writes the job, and answers once that is durable. */
    public void onSubmit(Input.SubmitJob request) {
        if (request.jobId() == null) {
            replies.rejected(request.id(), 400, request.rejection());
            return;
        }
        if (replica.job(request.jobId()) != null || replica.result(request.jobId()) != null) {
            // A job that is known stays known, whatever the body of a retry says.
            users.lookUp(request.id(), request.jobId(), () -> take(request));
            return;
        }
        if (request.job() == null) {
            // No accepted job was malformed, but only the state service knows of all that are over. Where it does not
            // answer, a body that could never be accepted is told so all the same.
            users.lookUp(
                    request.id(),
                    request.jobId(),
                    () -> take(request),
                    () -> replies.rejected(request.id(), 400, request.rejection()));
            return;
        }
        String unfit = unfit(request.job());
        if (unfit != null) {
            reject(request, unfit);
        } else if (machines.types().isEmpty() || !membership.isMember()) {
            replies.retryLater(request.id(), "not ready, try again");
        } else {
            take(request);
        }
    }

    /** Refuses a job that can never run, unless it was accepted earlier. */
    private void reject(Input.SubmitJob request, String reason) {
        users.lookUp(request.id(), request.jobId(), () -> replies.rejected(request.id(), 422, reason));
    }

    private void take(Input.SubmitJob request) {
        if (request.job() == null) {
            replies.rejected(request.id(), 400, request.rejection());
        } else if (!membership.isMember()) {
            replies.retryLater(request.id(), "not ready, try again");
        } else if (request.job().dependencies().isEmpty()) {
            accept(request, Map.of());
        } else if (!membership.allControllersUpgraded()) {
            replies.retryLater(
                    request.id(), "not every controller has shown yet that it is upgraded, try again", UPGRADE_RETRY_S);
        } else if (request.job().dependencies().contains(request.jobId())) {
            reject(request, "the job awaits itself");
        } else if (unknown(request.job(), Map.of()).isEmpty()) {
            accept(request, Map.of());
        } else {
            // Another controller may have accepted what is awaited a moment ago.
            barrier.await(() -> lookUpAwaited(request, new HashMap<>()), () -> replies.unavailable(request.id()));
        }
    }

    /** Awaited jobs of which neither the replica nor a read says that they were accepted. */
    private List<String> unknown(Job job, Map<String, JobResult> read) {
        List<String> unknown = new ArrayList<>();
        for (String id : job.dependencies()) {
            if (replica.activeJob(id) == null && result(id, read) == null) {
                unknown.add(id);
            }
        }
        return unknown;
    }

    /** The final state of an awaited job, if it is known. */
    private JobResult result(String id, Map<String, JobResult> read) {
        JobResult known = replica.result(id);
        return known == null ? read.get(id) : known;
    }

    /** The replica holds all that was accepted and is not over; the others have a final state, or never were. */
    private void lookUpAwaited(Input.SubmitJob request, Map<String, JobResult> read) {
        List<String> unknown = unknown(request.job(), read);
        if (unknown.isEmpty()) {
            accept(request, read);
            return;
        }
        String next = unknown.get(0);
        if (replica.isUnreadable(next)) {
            replies.retryLater(request.id(), "the state of " + next + " cannot be read, try again");
            return;
        }
        boolean asked = finals.read(next, new JobResultReader.Listener() {
            @Override
            public void found(JobResult result) {
                read.put(next, result);
                lookUpAwaited(request, read);
            }

            @Override
            public void absent() {
                reject(request, "awaits " + next + ", which was never accepted");
            }

            @Override
            public void unavailable() {
                replies.unavailable(request.id());
            }
        });
        if (!asked) {
            // What was read so far is remembered, so the next try has less to look up.
            replies.retryLater(request.id(), "too many questions, try again");
        }
    }

    private void accept(Input.SubmitJob request, Map<String, JobResult> read) {
        Job job = request.job().withAcceptedAt(context.wallClockMs()).withDependencies(notDone(request.job(), read));
        if (cancelledFromTheStart(job, read)) {
            acceptCancelled(request, job);
            return;
        }
        JobRecord record = new JobRecord(job, distributor.assign(job), 0);
        int most = context.settings().maxValueBytes();
        if (size.bytes(record) > most) {
            record = new JobRecord(job, distributor.assignWhole(job), 0);
        }
        if (size.bytes(record) > most) {
            rejectTooLarge(request, most);
            return;
        }
        if (!transactions.tryAdmitSubmission()) {
            replies.retryLater(request.id(), "too many submissions, try again", OVERLOAD_RETRY_S);
            return;
        }
        Transaction.Builder transaction = newJob(job.id()).put(StoreKeys.job(job.id()), record);
        write(request, transaction, () -> replies.accepted(request.id(), job.id(), JobCondition.PENDING));
    }

    /** A job whose record fits no value is malformed for this service: its lists or names are too long. */
    private void rejectTooLarge(Input.SubmitJob request, int most) {
        String reason = "the job, with " + request.job().dependencies().size()
                + " awaited jobs, does not fit into a stored value of " + most + " bytes";
        users.lookUp(request.id(), request.jobId(), () -> replies.rejected(request.id(), 400, reason));
    }

    /** What is known to be done need not be awaited, and not be looked up again after a restart. */
    private List<String> notDone(Job job, Map<String, JobResult> read) {
        List<String> left = new ArrayList<>();
        for (String id : job.dependencies()) {
            JobResult result = result(id, read);
            if (result == null || result.cancelled()) {
                left.add(id);
            }
        }
        return left;
    }

    private boolean cancelledFromTheStart(Job job, Map<String, JobResult> read) {
        for (String id : job.dependencies()) {
            JobEntry entry = replica.activeJob(id);
            JobResult result = result(id, read);
            if (result != null && result.cancelled() || entry != null && dependencies.isCancelled(entry)) {
                return true;
            }
        }
        return false;
    }

    /** A job that names a cancelled one is accepted all the same. It is over, so its final state is all there is. */
    private void acceptCancelled(Input.SubmitJob request, Job job) {
        if (!transactions.tryAdmitSubmission()) {
            replies.retryLater(request.id(), "too many submissions, try again", OVERLOAD_RETRY_S);
            return;
        }
        JobResult result = new JobResult(true, context.wallClockMs());
        Transaction.Builder transaction = newJob(job.id()).put(StoreKeys.jobResult(job.id()), result);
        write(request, transaction, () -> {
            context.info("job " + job.id() + " is cancelled from the start, through one that it awaits");
            replica.recordResult(job.id(), result);
            replies.accepted(request.id(), job.id(), JobCondition.CANCELLED);
        });
    }

    private static Transaction.Builder newJob(String id) {
        return new Transaction.Builder().require(StoreKeys.job(id), 0).require(StoreKeys.jobResult(id), 0);
    }

    private void write(Input.SubmitJob request, Transaction.Builder transaction, Runnable accepted) {
        transactions.submit(TransactionPriority.USER, transaction.build(), (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                accepted.run();
            } else if (status == Transaction.Status.CONFLICT) {
                users.lookUp(request.id(), request.jobId(), () -> replies.retryLater(request.id(), "try again"));
            } else {
                replies.unavailable(request.id());
            }
        });
    }

    /** Why the job can never run, or null. */
    private String unfit(Job job) {
        Settings.TeamQuota team = context.settings().teams().get(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        if ((team.maxCpus() > 0 && job.cpus() > team.maxCpus() + 1e-9)
                || (team.maxGpus() > 0 && job.gpus() > team.maxGpus() + 1e-9)) {
            return "a task needs more than the limit of " + job.team();
        }
        for (MachineType type : machines.types()) {
            boolean zoned = job.zone() == null || type.zones().contains(job.zone());
            if (job.allowsType(type.name()) && zoned && type.capacityFor(job) > 0) {
                return null;
            }
        }
        return machines.types().isEmpty() ? null : "a task fits no allowed machine type";
    }
}
