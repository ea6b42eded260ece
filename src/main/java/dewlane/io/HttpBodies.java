package dewlane.io;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Writes and reads whole bodies on non-blocking channels. */
final class HttpBodies {
    private static final int BUFFER_BYTES = 8192;

    private HttpBodies() {}

    /** Writes a body and shuts down the channel's writes; {@code failed} is run if the connection breaks. */
    static void write(StreamSinkChannel channel, byte[] body, Runnable failed) {
        write(channel, ByteBuffer.wrap(body), failed);
    }

    private static void write(StreamSinkChannel channel, ByteBuffer body, Runnable failed) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    writeLater(channel, body, failed);
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                writeLater(channel, body, failed);
            }
        } catch (IOException e) {
            failed.run();
        }
    }

    private static void writeLater(StreamSinkChannel channel, ByteBuffer body, Runnable failed) {
        channel.getWriteSetter().set(writable -> FatalErrors.run(() -> write(writable, body, failed)));
        channel.resumeWrites();
    }

    /**
     * Reads a body up to its end; one of the three callbacks is run, once.
     *
     * @param maxBytes the size beyond which the rest of the body is not read
     */
    static void read(
            StreamSourceChannel channel, int maxBytes, Consumer<byte[]> completed, Runnable tooLarge, Runnable failed) {
        Reader reader = new Reader(maxBytes, completed, tooLarge, failed);
        channel.getReadSetter().set(readable -> FatalErrors.run(() -> reader.drain(readable)));
        reader.drain(channel);
    }

    /** Reads one body as its bytes arrive. */
    private static final class Reader {
        private final int maxBytes;
        private final Consumer<byte[]> completed;
        private final Runnable tooLarge;
        private final Runnable failed;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final byte[] buffer = new byte[BUFFER_BYTES];

        Reader(int maxBytes, Consumer<byte[]> completed, Runnable tooLarge, Runnable failed) {
            this.maxBytes = maxBytes;
            this.completed = completed;
            this.tooLarge = tooLarge;
            this.failed = failed;
        }

        void drain(StreamSourceChannel channel) {
            try {
                int count = channel.read(ByteBuffer.wrap(buffer));
                while (count > 0) {
                    body.write(buffer, 0, count);
                    if (body.size() > maxBytes) {
                        channel.suspendReads();
                        tooLarge.run();
                        return;
                    }
                    count = channel.read(ByteBuffer.wrap(buffer));
                }
                if (count == 0) {
                    channel.resumeReads();
                } else {
                    channel.suspendReads();
                    completed.accept(body.toByteArray());
                }
            } catch (IOException e) {
                failed.run();
            }
        }
    }
}
