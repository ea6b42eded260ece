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
import java.util.ArrayList;
import java.util.List;
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
        listPage(StoreKeys.AFTER_JOB_RESULTS, new ArrayList<>(), 0);
    }

    private void listPage(String after, List<Input.StoreRow> rows, long firstRevision) {
        String path = StoreProtocol.listPath(StoreKeys.ROOT, after, PAGE_KEYS);
        calls.send(Methods.GET, path, null, LIST_TIMEOUT_MS, (status, body) -> {
            if (status != StatusCodes.OK) {
                acceptAfter(RETRY_DELAY_MS, new Input.StoreListFailed());
                return;
            }
            try {
                onPage(StoreProtocol.parsePage(body), rows, firstRevision);
            } catch (IOException e) {
                LOG.error("malformed listing from the store: {}", e.getMessage());
                core.accept(new Input.StoreListFailed());
            }
        });
    }

    private void onPage(StoreProtocol.Page page, List<Input.StoreRow> rows, long firstRevision) {
        rows.addAll(page.rows());
        long listedFrom = firstRevision == 0 ? page.revision() : firstRevision;
        if (page.more() && page.lastKey() != null) {
            listPage(page.lastKey(), rows, listedFrom);
        } else {
            core.accept(new Input.StoreListed(rows, listedFrom, page.revision()));
        }
    }

    private void acceptAfter(long pauseMs, Input input) {
        thread.executeAfter(() -> core.accept(input), pauseMs, TimeUnit.MILLISECONDS);
    }

    /** Opens a watch for changes after the revision, after a pause that keeps to the request rate. */
    void watch(long afterRevision) {
        thread.executeAfter(() -> openWatch(afterRevision), watchPauseMs, TimeUnit.MILLISECONDS);
    }

    private void openWatch(long afterRevision) {
        String path = StoreProtocol.watchPath(StoreKeys.ROOT, afterRevision, WATCH_MS);
        watches.send(Methods.GET, path, null, WATCH_MS + WATCH_GRACE_MS, (status, body) -> {
            try {
                if (status == StatusCodes.OK) {
                    StoreProtocol.Events events = StoreProtocol.parseEvents(body);
                    core.accept(new Input.WatchEvents(events.changes(), events.revision()));
                    return;
                }
            } catch (IOException e) {
                LOG.error("malformed changes from the store: {}", e.getMessage());
            }
            long pauseMs = status == HttpConnectionPool.NO_ANSWER ? 0 : RETRY_DELAY_MS;
            acceptAfter(pauseMs, new Input.WatchFailed(status == StatusCodes.GONE));
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
        try {
            boolean hasRevision = outcome == Transaction.Status.COMMITTED || outcome == Transaction.Status.CONFLICT;
            return new Input.TransactionCompleted(id, outcome, hasRevision ? StoreProtocol.parseRevision(body) : 0);
        } catch (IOException e) {
            return new Input.TransactionCompleted(id, Transaction.Status.UNKNOWN, 0);
        }
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
        calls.send(Methods.GET, StoreProtocol.valuePath(key), null, TIMEOUT_MS, (status, body) -> {
            try {
                if (status == StatusCodes.OK) {
                    Input.StoreRow row = StoreProtocol.parseRow(key, body);
                    core.accept(new Input.ValueRead(id, Optional.ofNullable(row.value())));
                    return;
                }
            } catch (IOException e) {
                LOG.error("malformed value from the store: {}", e.getMessage());
            }
            boolean isAbsent = status == StatusCodes.NOT_FOUND;
            core.accept(isAbsent ? new Input.ValueRead(id, Optional.empty()) : new Input.ValueReadFailed(id));
        });
    }

    /** Reads the latest revision, which the store includes in its answer to a read of a key that never exists. */
    void readRevision() {
        calls.send(Methods.GET, StoreProtocol.valuePath(StoreKeys.REVISION_PROBE), null, TIMEOUT_MS, (status, body) -> {
            Input result = new Input.RevisionReadFailed();
            try {
                if (status == StatusCodes.NOT_FOUND) {
                    result = new Input.RevisionRead(StoreProtocol.parseRevision(body));
                }
            } catch (IOException e) {
                LOG.error("malformed revision from the store: {}", e.getMessage());
            }
            core.accept(result);
        });
    }

    /** Requests a lease. */
    void grantLease(long ttlMs) {
        leases.send(
                Methods.POST,
                StoreProtocol.LEASES_PATH,
                StoreProtocol.grantRequest(ttlMs),
                TIMEOUT_MS,
                (status, body) -> {
                    Input result = new Input.LeaseGrantFailed();
                    try {
                        if (status == StatusCodes.OK) {
                            result = new Input.LeaseGranted(StoreProtocol.parseGrantedLease(body));
                        }
                    } catch (IOException e) {
                        LOG.error("malformed lease from the store: {}", e.getMessage());
                    }
                    core.accept(result);
                });
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
