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

    /** Reads a body up to its end; one of the two callbacks is run, once. */
    static void read(StreamSourceChannel channel, Consumer<byte[]> completed, Runnable failed) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        channel.getReadSetter()
                .set(readable -> FatalErrors.run(() -> drain(readable, body, buffer, completed, failed)));
        drain(channel, body, buffer, completed, failed);
    }

    private static void drain(
            StreamSourceChannel channel,
            ByteArrayOutputStream body,
            byte[] buffer,
            Consumer<byte[]> completed,
            Runnable failed) {
        try {
            while (true) {
                int count = channel.read(ByteBuffer.wrap(buffer));
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    channel.suspendReads();
                    completed.accept(body.toByteArray());
                    return;
                }
                body.write(buffer, 0, count);
            }
        } catch (IOException e) {
            failed.run();
        }
    }
}
