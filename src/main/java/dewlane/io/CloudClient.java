package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import dewlane.wire.CloudProtocol;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Sends requests to the cloud and passes its answers to the core. */
final class CloudClient {
    private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
    private static final long TIMEOUT_MS = 5000;
    private static final int MAX_CONNECTIONS = 4;
    private static final int MAX_CREATE_ATTEMPTS = 4;
    private static final long CREATE_BACKOFF_MS = 1000;

    private final XnioIoThread thread;
    private final HttpConnectionPool calls;
    private final Consumer<Input> core;
    private boolean listing;

    CloudClient(XnioIoThread thread, ByteBufferPool buffers, String address, Consumer<Input> core) {
        this.thread = thread;
        this.calls = new HttpConnectionPool(thread, buffers, address, MAX_CONNECTIONS);
        this.core = core;
    }

    /** Lists the machine types that the cloud offers. */
    void listMachineTypes() {
        calls.send(Methods.GET, CloudProtocol.MACHINE_TYPES_PATH, null, TIMEOUT_MS, (status, body) -> {
            List<MachineType> types = status == StatusCodes.OK
                    ? AnswerParser.parse(
                            "list of machine types from the cloud", () -> CloudProtocol.parseMachineTypes(body), null)
                    : null;
            if (types != null) {
                core.accept(new Input.MachineTypesListed(types));
            }
        });
    }

    /** Lists the instances, page by page, unless a listing is in progress. */
    void listInstances() {
        if (!listing) {
            listing = true;
            listPage(null, new ArrayList<>());
        }
    }

    private void listPage(String after, List<CloudInstance> instances) {
        calls.send(Methods.GET, CloudProtocol.pagePath(after), null, TIMEOUT_MS, (status, body) -> {
            listing = false;
            if (status != StatusCodes.OK) {
                LOG.debug("the cloud answered a listing of instances with status {}", status);
                return;
            }
            CloudProtocol.Page page =
                    AnswerParser.parse("list of instances from the cloud", () -> CloudProtocol.parsePage(body), null);
            if (page != null) {
                onPage(page, instances);
            }
        });
    }

    private void onPage(CloudProtocol.Page page, List<CloudInstance> instances) {
        instances.addAll(page.instances());
        if (page.more() && !page.instances().isEmpty()) {
            listing = true;
            listPage(page.instances().get(page.instances().size() - 1).name(), instances);
        } else {
            core.accept(new Input.InstancesListed(instances));
        }
    }

    /** Creates instances. */
    void createInstances(Effect.CreateInstances request) {
        createInstances(request, 1);
    }

    /**
     * Repeats a request with an unknown outcome, a limited number of times; requests with the same id are idempotent.
     */
    private void createInstances(Effect.CreateInstances request, int attempt) {
        byte[] body = CloudProtocol.createRequest(
                request.requestId(), request.type(), request.zone(), request.spot(), request.count());
        calls.send(Methods.POST, CloudProtocol.INSTANCES_PATH, body, TIMEOUT_MS, (status, answer) -> {
            Input.CreateStatus result = createStatus(status, answer);
            if (result == Input.CreateStatus.UNKNOWN && attempt < MAX_CREATE_ATTEMPTS) {
                long pauseMs = CREATE_BACKOFF_MS * attempt;
                Runnable retry = FatalErrors.guard(() -> createInstances(request, attempt + 1));
                thread.executeAfter(retry, pauseMs, TimeUnit.MILLISECONDS);
                return;
            }
            if (result == Input.CreateStatus.INVALID) {
                LOG.error("the cloud rejected a request for instances as malformed: {}", request);
            }
            List<String> names = result == Input.CreateStatus.CREATED ? createdNames(answer) : List.of();
            core.accept(new Input.InstancesCreated(request.requestId(), result, names));
        });
    }

    private static Input.CreateStatus createStatus(int status, byte[] body) {
        if (status == StatusCodes.OK) {
            return Input.CreateStatus.CREATED;
        } else if (status == StatusCodes.SERVICE_UNAVAILABLE && CloudProtocol.isNoCapacity(body)) {
            return Input.CreateStatus.NO_CAPACITY;
        } else if (status == StatusCodes.BAD_REQUEST) {
            return Input.CreateStatus.INVALID;
        }
        return Input.CreateStatus.UNKNOWN;
    }

    private static List<String> createdNames(byte[] body) {
        return AnswerParser.parse(
                "list of created instances from the cloud", () -> CloudProtocol.parseCreatedInstances(body), List.of());
    }

    /** Deletes instances. */
    void deleteInstances(List<String> names) {
        calls.send(
                Methods.POST,
                CloudProtocol.DELETE_PATH,
                CloudProtocol.deleteRequest(names),
                TIMEOUT_MS,
                (status, body) -> core.accept(new Input.InstancesDeleted(names, status == StatusCodes.OK)));
    }
}
