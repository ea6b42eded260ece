import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Serves and sends HTTP/1.1 requests with JSON bodies, on 127.0.0.1 only. */
final class Http {
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** The status of a request that got no answer. */
    static final int NO_ANSWER = -1;

    record Answer(int status, String body) {}

    interface Handler {
        /** Returns the answer, or null to close the connection without one. */
        Answer handle(String method, String path, String query, String body) throws Exception;
    }

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(THREADS)
            .build();

    private Http() {}

    /** Serves on a free port. */
    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            URI uri = exchange.getRequestURI();
            Answer answer = handler.handle(
                    exchange.getRequestMethod(), uri.getPath(), uri.getRawQuery() == null ? "" : uri.getRawQuery(), body);
            if (answer != null) {
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                exchange.getResponseBody().write(bytes);
            }
        } catch (IOException e) {
            // The client has gone.
        } catch (Exception e) {
            e.printStackTrace();
            exchange.sendResponseHeaders(400, -1);
        } finally {
            exchange.close();
        }
    }

    /** Sends a request and waits for its answer. */
    static Answer send(String method, String address, String path, String body, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(NO_ANSWER, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(NO_ANSWER, "");
        }
    }

    /** Returns a parameter of a query, or the default. */
    static String parameter(String query, String name, String defaultValue) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return defaultValue;
    }
}
