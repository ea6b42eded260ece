import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 with blocking sockets on loopback: a server with one thread a connection, and a client. */
final class Http2 {
    /** An answer; a status of 0 closes the connection without one. */
    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body) throws Exception;
    }

    private record Message(String first, Map<String, String> headers, String body) {}

    private Http2() {}

    /** Starts a server on a free port of 127.0.0.1 and returns its address. */
    static String serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket, handler));
            }
        });
        return "127.0.0.1:" + server.getLocalPort();
    }

    interface Job {
        void run() throws Exception;
    }

    static Thread start(Job job) {
        Thread thread = new Thread(null, () -> {
            try {
                job.run();
            } catch (Exception e) {
                // The connection or the stand-in has ended.
            }
        }, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in);
                if (request == null) {
                    return;
                }
                String[] words = request.first.split(" ");
                int mark = words[1].indexOf('?');
                Map<String, String> query = new HashMap<>();
                if (mark >= 0) {
                    for (String pair : words[1].substring(mark + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        query.put(pair.substring(0, equals), pair.substring(equals + 1));
                    }
                }
                String path = mark < 0 ? words[1] : words[1].substring(0, mark);
                Answer answer = handler.handle(words[0], path, query, request.body);
                if (answer.status == 0) {
                    return;
                }
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.write(("HTTP/1.1 " + answer.status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                bytes.write(body);
                out.write(bytes.toByteArray());
                out.flush();
            }
        }
    }

    /** Sends one request on a new connection; the status is -1 if there is no answer in time. */
    static Answer call(String address, String method, String path, String body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                    + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
                    + "\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            socket.getOutputStream().flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            return answer == null
                    ? new Answer(-1, "connection closed")
                    : new Answer(Integer.parseInt(answer.first.split(" ")[1]), answer.body);
        } catch (IOException | RuntimeException e) {
            return new Answer(-1, e.toString());
        }
    }

    private static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = size(in); size > 0; size = size(in)) {
                body.write(in.readNBytes(size));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            int size = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException();
            }
            body.write(bytes);
        }
        return new Message(first, headers, body.toString(StandardCharsets.UTF_8));
    }

    private static int size(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException();
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.US_ASCII).trim();
            }
            line.write(b);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.US_ASCII);
    }
}
