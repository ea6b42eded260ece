package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.QuotaTransfer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Encodes and decodes the partition map. Quota transfers and schema versions are omitted if there are none. */
final class PartitionMapCodec {
    private static final String EPOCH = "epoch";
    private static final String MEMBERS = "members";
    private static final String REASSIGNED_MACHINES = "moved";
    private static final String QUOTA_TRANSFERS = "loans";
    private static final String SCHEMA_VERSIONS = "formats";
    private static final Set<String> FIELDS =
            Set.of(EPOCH, MEMBERS, REASSIGNED_MACHINES, QUOTA_TRANSFERS, SCHEMA_VERSIONS);

    private static final int TRANSFER_ELEMENTS = 4;

    private PartitionMapCodec() {}

    static void write(JsonGenerator out, PartitionMap map) throws IOException {
        out.writeNumberField(EPOCH, map.epoch());
        out.writeObjectFieldStart(MEMBERS);
        for (Member member : map.members()) {
            out.writeNumberField(member.name(), member.incarnation());
        }
        out.writeEndObject();
        out.writeObjectFieldStart(REASSIGNED_MACHINES);
        for (Map.Entry<String, String> machine : map.reassignedMachines().entrySet()) {
            out.writeStringField(machine.getKey(), machine.getValue());
        }
        out.writeEndObject();
        if (!map.quotaTransfers().isEmpty()) {
            writeTransfers(out, map.quotaTransfers());
        }
        if (!map.schemaVersions().isEmpty()) {
            out.writeObjectFieldStart(SCHEMA_VERSIONS);
            for (Map.Entry<String, Integer> version : map.schemaVersions().entrySet()) {
                out.writeNumberField(version.getKey(), version.getValue());
            }
            out.writeEndObject();
        }
        UnknownFieldsCodec.write(out, map.unknown());
    }

    private static void writeTransfers(JsonGenerator out, List<QuotaTransfer> transfers) throws IOException {
        out.writeArrayFieldStart(QUOTA_TRANSFERS);
        for (QuotaTransfer transfer : transfers) {
            out.writeString(transfer.team());
            out.writeString(transfer.controller());
            out.writeNumber(transfer.cpus());
            out.writeNumber(transfer.gpus());
        }
        out.writeEndArray();
    }

    /** Reads a partition map; throws a runtime exception if the fields are malformed. */
    static PartitionMap read(Map<String, Object> fields) {
        if (!(fields.get(EPOCH) instanceof Long epoch) || !(fields.get(MEMBERS) instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("expected an integer in field epoch and an object in field members");
        }
        Map<String, String> reassigned = new HashMap<>();
        Json.asObject(fields.get(REASSIGNED_MACHINES))
                .forEach((machine, controller) -> reassigned.put(machine, (String) controller));
        Map<String, Integer> versions = new HashMap<>();
        Json.asObject(fields.get(SCHEMA_VERSIONS))
                .forEach((controller, version) -> versions.put(controller, ((Number) version).intValue()));
        return new PartitionMap(
                epoch,
                readMembers(Json.asObject(fields.get(MEMBERS))),
                Map.copyOf(reassigned),
                readTransfers(Json.list(fields, QUOTA_TRANSFERS)),
                Map.copyOf(versions),
                UnknownFieldsCodec.read(fields, FIELDS));
    }

    private static List<Member> readMembers(Map<String, Object> fields) {
        List<Member> members = new ArrayList<>();
        fields.forEach((name, incarnation) -> members.add(new Member(name, ((Number) incarnation).longValue())));
        members.sort(Comparator.comparing(Member::name));
        return List.copyOf(members);
    }

    private static List<QuotaTransfer> readTransfers(List<?> elements) {
        List<QuotaTransfer> transfers = new ArrayList<>();
        for (int i = 0; i < elements.size(); i += TRANSFER_ELEMENTS) {
            transfers.add(new QuotaTransfer(
                    (String) elements.get(i),
                    (String) elements.get(i + 1),
                    ((Number) elements.get(i + 2)).doubleValue(),
                    ((Number) elements.get(i + 3)).doubleValue()));
        }
        return List.copyOf(transfers);
    }
}
