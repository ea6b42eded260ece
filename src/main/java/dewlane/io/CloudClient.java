package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.CloudInstance;
import dewlane.wire.CloudProtocol;
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

/** Talks to the cloud and hands its answers to the core. */
final class CloudClient {
    private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
    private static final long CALL_MS = 5000;
    private static final int RENT_TRIES = 4;

    private final XnioIoThread thread;
    private final HttpConnectionPool calls;
    private final Consumer<Input> core;
    private boolean listing;

    CloudClient(XnioIoThread thread, ByteBufferPool buffers, String address, Consumer<Input> core) {
        this.thread = thread;
        this.calls = new HttpConnectionPool(thread, buffers, address, 4);
        this.core = core;
    }

    void catalog() {
        calls.send(Methods.GET, CloudProtocol.CATALOG, null, CALL_MS, (status, body) -> {
            try {
                if (status == 200) {
                    core.accept(new Input.MachineTypesListed(CloudProtocol.catalog(body)));
                }
            } catch (IOException e) {
                LOG.error("unreadable catalog: {}", e.getMessage());
            }
        });
    }

    void list() {
        if (!listing) {
            listing = true;
            page(null, new ArrayList<>());
        }
    }

    private void page(String after, List<CloudInstance> machines) {
        calls.send(Methods.GET, CloudProtocol.page(after), null, CALL_MS, (status, body) -> {
            listing = false;
            if (status != 200) {
                LOG.debug("the cloud lists no machines: {}", status);
                return;
            }
            try {
                CloudProtocol.Page page = CloudProtocol.page(body);
                machines.addAll(page.machines());
                if (page.more() && !page.machines().isEmpty()) {
                    listing = true;
                    page(page.machines().get(page.machines().size() - 1).name(), machines);
                } else {
                    core.accept(new Input.InstancesListed(machines));
                }
            } catch (IOException e) {
                LOG.error("unreadable machine list: {}", e.getMessage());
            }
        });
    }

    void rent(Effect.CreateInstances rent) {
        rent(rent, 1);
    }

    /** The same request under the same name rents nothing twice, so it is repeated until it is answered. */
    private void rent(Effect.CreateInstances rent, int attempt) {
        byte[] request = CloudProtocol.rent(rent.requestId(), rent.type(), rent.zone(), rent.spot(), rent.count());
        calls.send(Methods.POST, CloudProtocol.MACHINES, request, CALL_MS, (status, body) -> {
            if (status == 200) {
                List<String> names = List.of();
                try {
                    names = CloudProtocol.rented(body);
                } catch (IOException e) {
                    LOG.error("unreadable rental: {}", e.getMessage());
                }
                core.accept(new Input.InstancesCreated(rent.requestId(), Input.CreateStatus.CREATED, names));
            } else if (status == 503 && CloudProtocol.noCapacity(body)) {
                core.accept(new Input.InstancesCreated(rent.requestId(), Input.CreateStatus.NO_CAPACITY, List.of()));
            } else if (status == 400) {
                LOG.error("the cloud calls a rental malformed: {}", rent);
                core.accept(new Input.InstancesCreated(rent.requestId(), Input.CreateStatus.INVALID, List.of()));
            } else if (attempt < RENT_TRIES) {
                thread.executeAfter(() -> rent(rent, attempt + 1), 1000L * attempt, TimeUnit.MILLISECONDS);
            } else {
                core.accept(new Input.InstancesCreated(rent.requestId(), Input.CreateStatus.UNKNOWN, List.of()));
            }
        });
    }

    void delete(List<String> machines) {
        calls.send(
                Methods.POST,
                CloudProtocol.DELETE,
                CloudProtocol.delete(machines),
                CALL_MS,
                (status, body) -> core.accept(new Input.InstancesDeleted(machines, status == 200)));
    }
}
