package dewlane.wire;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.MachineStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The protocol between controllers. Messages are MessagePack with fields identified by their position. */
public final class PeerProtocol {
    /** The path to which a controller sends its status. */
    public static final String STATUS_PATH = "/peer/status";

    private PeerProtocol() {}

    /** Encodes a status. */
    public static byte[] encodeStatus(PeerStatus status) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packString(status.controller()).packLong(status.epoch()).packBoolean(status.storeReachable());
            out.packArrayHeader(status.cancelledJobs().size());
            for (String job : status.cancelledJobs()) {
                out.packString(job);
            }
            out.packArrayHeader(status.machines().size());
            for (MachineStatus machine : status.machines()) {
                out.packString(machine.name())
                        .packString(machine.address())
                        .packString(machine.type())
                        .packString(machine.zone())
                        .packBoolean(machine.spot())
                        .packLong(machine.incarnation())
                        .packLong(machine.sequence());
            }
            return out.toByteArray();
        }
    }

    /**
     * Decodes a status.
     *
     * @throws IOException if the body is truncated; other malformed bodies cause a runtime exception of the MessagePack
     *     library
     */
    public static PeerStatus parseStatus(byte[] body) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            String controller = in.unpackString();
            long epoch = in.unpackLong();
            boolean storeReachable = in.unpackBoolean();
            List<String> cancelledJobs = new ArrayList<>();
            int jobs = in.unpackArrayHeader();
            for (int i = 0; i < jobs; i++) {
                cancelledJobs.add(in.unpackString());
            }
            List<MachineStatus> machines = new ArrayList<>();
            int machineCount = in.unpackArrayHeader();
            for (int i = 0; i < machineCount; i++) {
                machines.add(readMachine(in));
            }
            return new PeerStatus(controller, epoch, storeReachable, cancelledJobs, machines);
        }
    }

    private static MachineStatus readMachine(MessageUnpacker in) throws IOException {
        return new MachineStatus(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackBoolean(),
                in.unpackLong(),
                in.unpackLong());
    }
}
