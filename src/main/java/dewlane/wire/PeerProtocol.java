package dewlane.wire;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.MachineStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What controllers tell one another, as MessagePack. */
public final class PeerProtocol {
    public static final String STATUS_PATH = "/peer/status";

    private PeerProtocol() {}

    /** Encodes what a controller tells its peers. */
    public static byte[] status(PeerStatus status) throws IOException {
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

    /** Decodes what a peer tells. */
    public static PeerStatus status(byte[] body) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            String node = in.unpackString();
            long epoch = in.unpackLong();
            boolean reachable = in.unpackBoolean();
            int jobs = in.unpackArrayHeader();
            List<String> cancelled = new ArrayList<>();
            for (int i = 0; i < jobs; i++) {
                cancelled.add(in.unpackString());
            }
            int n = in.unpackArrayHeader();
            List<MachineStatus> machines = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                machines.add(new MachineStatus(
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackBoolean(),
                        in.unpackLong(),
                        in.unpackLong()));
            }
            return new PeerStatus(node, epoch, reachable, cancelled, machines);
        }
    }
}
