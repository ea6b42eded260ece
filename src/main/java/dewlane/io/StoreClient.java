package dewlane.io;

import dewlane.core.config.Settings;
import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Sends requests to the store and passes its answers to the core. */
final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final int PAGE_KEYS = 200;
    private static final long TIMEOUT_MS = 1500;
    private static final long LIST_TIMEOUT_MS = 3000;
    private static final long RENEWAL_TIMEOUT_MS = 1000;
    /** How long the store may hold a watch open if there are no changes. */
    private static final long WATCH_MS = 800;
    /** The time after {@link #WATCH_MS} at which a watch without an answer times out. */
    private static final long WATCH_GRACE_MS = 1500;
    /** The minimum pause before a watch is opened, so that changes in quick succession arrive in one answer. */
    private static final long MIN_WATCH_PAUSE_MS = 60;
    /** The share of the request rate that the watches of all controllers together may use. */
    private static final double WATCH_SHARE = 0.25;

    private static final long RETRY_DELAY_MS = 300;
    /** How often a page of a listing is requested again, so that a refusal does not discard the pages before it. */
    private static final int MAX_PAGE_RETRIES = 20;

    private static final int MAX_CALL_CONNECTIONS = 12;
    private static final int MAX_LEASE_CONNECTIONS = 2;
    private static final int MAX_WATCH_CONNECTIONS = 2;
    private static final byte[] NO_BODY = {};

    private final XnioIoThread thread;
    private final HttpConnectionPool calls;
    private final HttpConnectionPool leases;
    private final HttpConnectionPool watches;
    private final Consumer<Input> core;
    private final long watchPauseMs;

    /** Creates a client that connects on first use and keeps watches within their share of the store's request rate. */
    StoreClient(XnioIoThread thread, ByteBufferPool buffers, String address, Settings settings, Consumer<Input> core) {
        this.thread = thread;
        this.calls = new HttpConnectionPool(thread, buffers, address, MAX_CALL_CONNECTIONS);
        this.leases = new HttpConnectionPool(thread, buffers, address, MAX_LEASE_CONNECTIONS);
        this.watches = new HttpConnectionPool(thread, buffers, address, MAX_WATCH_CONNECTIONS);
        this.core = core;
        this.watchPauseMs = Math.max(MIN_WATCH_PAUSE_MS, settings.storeRequestIntervalMs(WATCH_SHARE));
    }

    /** Lists all keys except those of job results, page by page. */
    void list() {
        listPage(new Listing(), StoreKeys.AFTER_JOB_RESULTS);
    }

    /** A listing in progress. */
    private static final class Listing {
        long firstRevision;
        int refusalsOfPage;
    }

    private void listPage(Listing listing, String after) {
        String path = StoreProtocol.listPath(StoreKeys.ROOT, after, PAGE_KEYS);
        calls.send(Methods.GET, path, null, LIST_TIMEOUT_MS, (status, body) -> {
            if (status == StatusCodes.OK) {
                onPage(listing, body);
            } else if (listing.firstRevision != 0 && listing.refusalsOfPage < MAX_PAGE_RETRIES) {
                listing.refusalsOfPage++;
                executeAfter(RETRY_DELAY_MS, () -> listPage(listing, after));
            } else {
                acceptAfter(RETRY_DELAY_MS, new Input.StoreListFailed());
            }
        });
    }

    private void onPage(Listing listing, byte[] body) {
        StoreProtocol.Page page =
                AnswerParser.parse("listing from the store", () -> StoreProtocol.parsePage(body), null);
        if (page == null) {
            core.accept(new Input.StoreListFailed());
            return;
        }
        listing.refusalsOfPage = 0;
        listing.firstRevision = listing.firstRevision == 0 ? page.revision() : listing.firstRevision;
        if (page.more() && page.lastKey() != null) {
            core.accept(new Input.StorePageListed(page.rows()));
            listPage(listing, page.lastKey());
        } else {
            core.accept(new Input.StoreListed(page.rows(), listing.firstRevision, page.revision()));
        }
    }

    private void acceptAfter(long pauseMs, Input input) {
        executeAfter(pauseMs, () -> core.accept(input));
    }

    private void executeAfter(long pauseMs, Runnable task) {
        thread.executeAfter(FatalErrors.guard(task), pauseMs, TimeUnit.MILLISECONDS);
    }

    /** Opens a watch for changes after the revision, after a pause that keeps to the request rate. */
    void watch(long id, long afterRevision) {
        executeAfter(watchPauseMs, () -> openWatch(id, afterRevision));
    }

    private void openWatch(long id, long afterRevision) {
        String path = StoreProtocol.watchPath(StoreKeys.ROOT, afterRevision, WATCH_MS);
        watches.send(Methods.GET, path, null, WATCH_MS + WATCH_GRACE_MS, (status, body) -> {
            StoreProtocol.Events events = status == StatusCodes.OK
                    ? AnswerParser.parse("changes from the store", () -> StoreProtocol.parseEvents(body), null)
                    : null;
            if (events != null) {
                core.accept(new Input.WatchEvents(id, events.changes(), events.revision()));
            } else {
                if (status == HttpConnectionPool.ANSWER_TOO_LARGE) {
                    LOG.warn("the changes since revision {} are too large to be read at once", afterRevision);
                }
                // A listing is read in pages of limited size, and makes the changes unnecessary.
                boolean mustList = status == StatusCodes.GONE || status == HttpConnectionPool.ANSWER_TOO_LARGE;
                long pauseMs = status == HttpConnectionPool.NO_ANSWER ? 0 : RETRY_DELAY_MS;
                acceptAfter(pauseMs, new Input.WatchFailed(id, mustList));
            }
        });
    }

    /** Sends a transaction. */
    void commit(long id, Transaction transaction) {
        byte[] request = StoreProtocol.transactionRequest(transaction);
        calls.send(Methods.POST, StoreProtocol.TRANSACTION_PATH, request, TIMEOUT_MS, (status, body) -> {
            if (status == StatusCodes.BAD_REQUEST) {
                LOG.error("the store calls a write invalid: {}", new String(body, StandardCharsets.UTF_8));
            }
            core.accept(completed(id, status, body));
        });
    }

    private static Input.TransactionCompleted completed(long id, int status, byte[] body) {
        Transaction.Status outcome = transactionStatus(status);
        boolean hasRevision = outcome == Transaction.Status.COMMITTED || outcome == Transaction.Status.CONFLICT;
        return AnswerParser.parse(
                "outcome of a transaction from the store",
                () -> new Input.TransactionCompleted(id, outcome, hasRevision ? StoreProtocol.parseRevision(body) : 0),
                new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0));
    }

    private static Transaction.Status transactionStatus(int status) {
        return switch (status) {
            case StatusCodes.OK -> Transaction.Status.COMMITTED;
            case StatusCodes.CONFLICT -> Transaction.Status.CONFLICT;
            case StatusCodes.BAD_REQUEST -> Transaction.Status.INVALID;
            case StatusCodes.TOO_MANY_REQUESTS -> Transaction.Status.RATE_LIMITED;
            case StatusCodes.SERVICE_UNAVAILABLE -> Transaction.Status.UNAVAILABLE;
            default -> Transaction.Status.UNKNOWN;
        };
    }

    /** Reads one key. */
    void read(long id, String key) {
        calls.send(
                Methods.GET,
                StoreProtocol.valuePath(key),
                null,
                TIMEOUT_MS,
                (status, body) -> core.accept(AnswerParser.parse(
                        "value from the store",
                        () -> valueRead(id, key, status, body),
                        new Input.ValueReadFailed(id))));
    }

    private static Input valueRead(long id, String key, int status, byte[] body) throws IOException {
        return switch (status) {
            case StatusCodes.OK ->
                new Input.ValueRead(
                        id,
                        Optional.ofNullable(StoreProtocol.parseRow(key, body).value()));
            case StatusCodes.NOT_FOUND -> new Input.ValueRead(id, Optional.empty());
            default -> new Input.ValueReadFailed(id);
        };
    }

    /** Reads the latest revision, which the store includes in its answer to a read of a key that never exists. */
    void readRevision() {
        calls.send(
                Methods.GET,
                StoreProtocol.valuePath(StoreKeys.REVISION_PROBE),
                null,
                TIMEOUT_MS,
                (status, body) -> core.accept(AnswerParser.parse(
                        "revision from the store", () -> revisionRead(status, body), new Input.RevisionReadFailed())));
    }

    private static Input revisionRead(int status, byte[] body) throws IOException {
        return status == StatusCodes.NOT_FOUND
                ? new Input.RevisionRead(StoreProtocol.parseRevision(body))
                : new Input.RevisionReadFailed();
    }

    /** Requests a lease. */
    void grantLease(long ttlMs) {
        leases.send(
                Methods.POST,
                StoreProtocol.LEASES_PATH,
                StoreProtocol.grantRequest(ttlMs),
                TIMEOUT_MS,
                (status, body) -> core.accept(AnswerParser.parse(
                        "lease from the store", () -> leaseGranted(status, body), new Input.LeaseGrantFailed())));
    }

    private static Input leaseGranted(int status, byte[] body) throws IOException {
        return status == StatusCodes.OK
                ? new Input.LeaseGranted(StoreProtocol.parseGrantedLease(body))
                : new Input.LeaseGrantFailed();
    }

    /** Renews a lease. */
    void renewLease(long lease) {
        leases.send(
                Methods.POST,
                StoreProtocol.renewalPath(lease),
                NO_BODY,
                RENEWAL_TIMEOUT_MS,
                (status, body) -> core.accept(new Input.LeaseRenewalCompleted(lease, renewalStatus(status))));
    }

    private static Input.RenewalStatus renewalStatus(int status) {
        return switch (status) {
            case StatusCodes.OK -> Input.RenewalStatus.RENEWED;
            case StatusCodes.NOT_FOUND -> Input.RenewalStatus.EXPIRED;
            default -> Input.RenewalStatus.UNKNOWN;
        };
    }
}
