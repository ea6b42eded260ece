package dewlane.io;

import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Talks to the state service and hands its answers to the core. */
final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final int PAGE = 200;
    private static final long CALL_MS = 1500;
    private static final long WATCH_MS = 800;
    /** Gathers changes that come close together into one answer of the watch; at least so long. */
    private static final long WATCH_PAUSE_MS = 60;
    /** The part of the requests that all controllers' watches together may take. */
    private static final double WATCH_SHARE = 0.25;

    private static final long RETRY_MS = 300;

    private final XnioIoThread thread;
    private final HttpConnectionPool calls;
    private final HttpConnectionPool leases;
    private final HttpConnectionPool watches;
    private final Consumer<Input> core;
    private final long watchPauseMs;

    StoreClient(
            XnioIoThread thread,
            ByteBufferPool buffers,
            String address,
            double rps,
            int controllers,
            Consumer<Input> core) {
        this.thread = thread;
        this.calls = new HttpConnectionPool(thread, buffers, address, 12);
        this.leases = new HttpConnectionPool(thread, buffers, address, 2);
        this.watches = new HttpConnectionPool(thread, buffers, address, 2);
        this.core = core;
        this.watchPauseMs = Math.max(WATCH_PAUSE_MS, Math.round(1000 * controllers / (rps * WATCH_SHARE)));
    }

    void list() {
        page(StoreKeys.AFTER_JOB_RESULTS, new ArrayList<>(), 0);
    }

    private void page(String after, List<Input.StoreRow> rows, long first) {
        calls.send(Methods.GET, StoreProtocol.list(StoreKeys.ROOT, after, PAGE), null, 3000, (status, body) -> {
            if (status != 200) {
                thread.executeAfter(() -> core.accept(new Input.StoreListFailed()), RETRY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            try {
                StoreProtocol.Page page = StoreProtocol.page(body);
                rows.addAll(page.rows());
                long from = first == 0 ? page.revision() : first;
                if (page.more() && page.last() != null) {
                    page(page.last(), rows, from);
                } else {
                    core.accept(new Input.StoreListed(rows, from, page.revision()));
                }
            } catch (IOException e) {
                LOG.error("unreadable list of the state service: {}", e.getMessage());
                core.accept(new Input.StoreListFailed());
            }
        });
    }

    void watch(long since) {
        thread.executeAfter(() -> openWatch(since), watchPauseMs, TimeUnit.MILLISECONDS);
    }

    private void openWatch(long since) {
        watches.send(
                Methods.GET,
                StoreProtocol.watch(StoreKeys.ROOT, since, WATCH_MS),
                null,
                WATCH_MS + 1500,
                (status, body) -> {
                    try {
                        if (status == 200) {
                            StoreProtocol.Events events = StoreProtocol.events(body);
                            core.accept(new Input.WatchEvents(events.changes(), events.revision()));
                            return;
                        }
                    } catch (IOException e) {
                        LOG.error("unreadable changes of the state service: {}", e.getMessage());
                    }
                    long pause = status == HttpConnectionPool.NO_ANSWER ? 0 : RETRY_MS;
                    thread.executeAfter(
                            () -> core.accept(new Input.WatchFailed(status == 410)), pause, TimeUnit.MILLISECONDS);
                });
    }

    void txn(long id, Transaction transaction) {
        calls.send(Methods.POST, StoreProtocol.TXN, StoreProtocol.txn(transaction), CALL_MS, (status, body) -> {
            Transaction.Status outcome =
                    switch (status) {
                        case 200 -> Transaction.Status.COMMITTED;
                        case 409 -> Transaction.Status.CONFLICT;
                        case 400 -> Transaction.Status.INVALID;
                        case 429 -> Transaction.Status.RATE_LIMITED;
                        case 503 -> Transaction.Status.UNAVAILABLE;
                        default -> Transaction.Status.UNKNOWN;
                    };
            long revision = 0;
            try {
                if (status == 200 || status == 409) {
                    revision = StoreProtocol.revision(body);
                } else if (status == 400) {
                    LOG.error(
                            "the state service calls a write invalid: {}",
                            new String(body, java.nio.charset.StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                outcome = Transaction.Status.UNKNOWN;
            }
            core.accept(new Input.TransactionCompleted(id, outcome, revision));
        });
    }

    void read(long id, String key) {
        calls.send(Methods.GET, StoreProtocol.get(key), null, CALL_MS, (status, body) -> {
            try {
                if (status == 200) {
                    Input.StoreRow row = StoreProtocol.row(key, body);
                    core.accept(new Input.ValueRead(id, true, row.value(), row.revision()));
                    return;
                }
            } catch (IOException e) {
                LOG.error("{}", e.getMessage());
            }
            core.accept(new Input.ValueRead(id, status == 404, null, 0));
        });
    }

    /** Reads a key that never exists: the answer names the latest revision. */
    void readRevision() {
        calls.send(Methods.GET, StoreProtocol.get(StoreKeys.NEVER_SET), null, CALL_MS, (status, body) -> {
            Input.RevisionRead read = new Input.RevisionRead(false, 0);
            try {
                if (status == 404) {
                    read = new Input.RevisionRead(true, StoreProtocol.revision(body));
                }
            } catch (IOException e) {
                LOG.error("unreadable revision of the state service: {}", e.getMessage());
            }
            core.accept(read);
        });
    }

    void grant(long ttlMs) {
        leases.send(Methods.POST, StoreProtocol.GRANTS, StoreProtocol.grant(ttlMs), CALL_MS, (status, body) -> {
            long lease = 0;
            try {
                lease = status == 200 ? StoreProtocol.granted(body) : 0;
            } catch (IOException e) {
                LOG.error("unreadable grant: {}", e.getMessage());
            }
            core.accept(new Input.LeaseGranted(lease));
        });
    }

    void touch(long lease) {
        leases.send(
                Methods.POST,
                StoreProtocol.touch(lease),
                new byte[0],
                1000,
                (status, body) -> core.accept(new Input.LeaseRenewalCompleted(lease, status == 200, status == 404)));
    }
}
