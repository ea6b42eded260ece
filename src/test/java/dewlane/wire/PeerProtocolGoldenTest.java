package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.MachineStatus;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The exact messages of the protocol between controllers. A change to the code that reads or writes them must not alter
 * them.
 */
class PeerProtocolGoldenTest {
    /** Controller, epoch, store not reachable; no cancelled jobs and no machines. */
    private static final String EMPTY = "a66361736b2d30" + "01" + "c2" + "90" + "90";

    private static final String FULL = "a76361736b2d3132" + "ce00011170" + "c3" // controller, epoch, store reachable
            + "92" + "a9776b2d303030303037" + "a4776b2d38" // two cancelled jobs
            + "92" // two machines: name, address, type, zone, spot, incarnation, sequence
            + "a9766d2d303030323331" + "af31302e312e302e3233323a39303030" + "a26738" + "a465617374"
            + "c3" + "03" + "cf000000012a05f200"
            + "a4766d2d32" + "a3683a31" + "a26332" + "a161"
            + "c2" + "ccc8" + "cd012c";

    private static Stream<Arguments> messages() {
        List<MachineStatus> machines = List.of(
                new MachineStatus("vm-000231", "10.1.0.232:9000", "g8", "east", true, 3, 5_000_000_000L),
                new MachineStatus("vm-2", "h:1", "c2", "a", false, 200, 300));
        return Stream.of(
                Arguments.of(EMPTY, new PeerStatus("cask-0", 1, false, List.of(), List.of())),
                Arguments.of(FULL, new PeerStatus("cask-12", 70_000, true, List.of("wk-000007", "wk-8"), machines)));
    }

    @Test
    void pathIsFixed() {
        assertEquals("/peer/status", PeerProtocol.STATUS_PATH);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void statusIsWritten(String hex, PeerStatus status) throws IOException {
        assertEquals(hex, HexFormat.of().formatHex(PeerProtocol.encodeStatus(status)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void statusIsRead(String hex, PeerStatus status) throws IOException {
        assertEquals(status, PeerProtocol.parseStatus(HexFormat.of().parseHex(hex)));
    }
}
