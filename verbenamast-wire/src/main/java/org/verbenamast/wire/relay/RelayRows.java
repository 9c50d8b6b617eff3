package org.verbenamast.wire.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import io.vavr.control.Either;
import org.verbenamast.core.check.Checks;
import org.verbenamast.core.gate.crash.CrashReport;
import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.keys.KeyAssignment;
import org.verbenamast.core.keys.KeyLeaseRow;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowContent;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.wire.WireException;

/** The contents of rows in JSON. */
public final class RelayRows {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NOBODY = -1;

    private RelayRows() {}

    /**
     * Encodes what a row holds.
     *
     * @param content the content
     * @return the bytes
     */
    public static byte[] encode(RowContent content) {
        ObjectNode node = MAPPER.createObjectNode();
        if (content instanceof Member member) {
            writeMember(node, member);
        } else if (content instanceof KeyMap map) {
            writeMap(node, map);
        } else if (content instanceof CrashReports reports) {
            writeReports(node.putArray("reports"), reports);
        } else {
            writeLease(node, (KeyLeaseRow) content);
        }
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void writeMember(ObjectNode node, Member member) {
        node.put("node", member.node());
        node.put("peer", member.peer().toString());
        node.put("zone", member.zone().name());
        node.put("service", member.service());
        writeLife(node.putArray("server"), member.incarnation());
        node.put("slots", member.slots());
        node.put("state", member.state().name());
    }

    private static void writeLife(ArrayNode node, ServerIncarnation life) {
        node.add(life.id()).add(life.startedAt());
    }

    private static void writeMap(ObjectNode node, KeyMap map) {
        List<ServerIncarnation> lives = new ArrayList<>();
        ArrayNode keys = MAPPER.createArrayNode();
        for (KeyAssignment each : map.assignments()) {
            keys.addArray()
                    .add(each.range().from())
                    .add(each.range().to())
                    .add(indexOf(lives, each.owner()))
                    .add(each.epoch())
                    .add(each.handover())
                    .add(indexOf(lives, each.next()));
        }
        node.put("service", map.service());
        node.put("lastEpoch", map.lastEpoch());
        ArrayNode servers = node.putArray("servers");
        lives.forEach(life -> writeLife(servers.addArray(), life));
        node.set("keys", keys);
    }

    private static int indexOf(List<ServerIncarnation> lives, Optional<ServerIncarnation> life) {
        if (life.isEmpty()) {
            return NOBODY;
        }
        if (!lives.contains(life.get())) {
            lives.add(life.get());
        }
        return lives.indexOf(life.get());
    }

    private static void writeReports(ArrayNode node, CrashReports reports) {
        for (CrashReport report : reports.reports()) {
            ArrayNode suspects = node.addObject().put("server", report.server()).putArray("suspects");
            report.suspects().forEach(suspect -> suspects.add(suspect.value()));
        }
    }

    private static void writeLease(ObjectNode node, KeyLeaseRow lease) {
        writeLife(node.putArray("server"), lease.incarnation());
        node.put("granter", lease.granter());
        node.put("renewal", lease.renewal());
    }

    /**
     * Decodes what a row holds.
     *
     * @param ref identifies the row
     * @param bytes the bytes
     * @return the content, or why it can't be read
     */
    public static Either<WireException, RowContent> decode(RowRef ref, byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return Either.right(
                    switch (ref.table()) {
                        case MEMBERS -> readMember(node, ref.key());
                        case KEYS -> readMap(node);
                        case CRASHES -> readReports(node);
                        case LEASES -> readLease(node);
                    });
        } catch (IOException | RuntimeException e) {
            return Either.left(WireException.shouldBeReadableRow(ref.table().label(), String.valueOf(e.getMessage())));
        }
    }

    private static Member readMember(JsonNode node, String key) {
        String name = node.required("node").asText();
        if (!name.equals(key)) {
            throw Checks.malformed("node", key, name);
        }
        return new Member(
                name,
                readAddress(node.required("peer")),
                new Zone(node.required("zone").asText()),
                node.required("service").asText(),
                readLife(node.required("server")),
                readInt(node.required("slots")),
                ServerState.valueOf(node.required("state").asText()));
    }

    /** Reads an address whose host is an IP number, as the lookup of a name would block the event loop. */
    private static Address readAddress(JsonNode node) {
        Address address = Address.parse(node.asText());
        if (!NetUtil.isValidIpV4Address(address.host())) {
            throw Checks.malformed("peer", "an IP number and a port", address.toString());
        }
        return address;
    }

    private static int readInt(JsonNode node) {
        if (!node.isInt()) {
            throw Checks.malformed(
                    "number", "a whole number of 32 bits", node.getNodeType().name());
        }
        return node.intValue();
    }

    private static long readLong(JsonNode node) {
        if (!node.isIntegralNumber() || !node.canConvertToLong()) {
            throw Checks.malformed(
                    "number", "a whole number of 64 bits", node.getNodeType().name());
        }
        return node.longValue();
    }

    private static ServerIncarnation readLife(JsonNode node) {
        return new ServerIncarnation(node.required(0).asText(), readLong(node.required(1)));
    }

    private static KeyMap readMap(JsonNode node) {
        List<ServerIncarnation> lives = new ArrayList<>();
        node.required("servers").forEach(each -> lives.add(readLife(each)));
        List<KeyAssignment> assignments = new ArrayList<>();
        for (JsonNode each : node.required("keys")) {
            assignments.add(new KeyAssignment(
                    new KeyRange(readInt(each.required(0)), readInt(each.required(1))),
                    lifeAt(lives, readInt(each.required(2))),
                    readLong(each.required(3)),
                    each.required(4).asText(),
                    lifeAt(lives, readInt(each.required(5)))));
        }
        return new KeyMap(node.required("service").asText(), readLong(node.required("lastEpoch")), assignments);
    }

    private static Optional<ServerIncarnation> lifeAt(List<ServerIncarnation> lives, int index) {
        return index == NOBODY ? Optional.empty() : Optional.of(lives.get(index));
    }

    private static CrashReports readReports(JsonNode node) {
        List<CrashReport> reports = new ArrayList<>();
        for (JsonNode each : node.required("reports")) {
            List<Fingerprint> suspects = new ArrayList<>();
            each.required("suspects").forEach(suspect -> suspects.add(new Fingerprint(readLong(suspect))));
            reports.add(new CrashReport(each.required("server").asText(), suspects));
        }
        return new CrashReports(reports);
    }

    private static KeyLeaseRow readLease(JsonNode node) {
        return new KeyLeaseRow(
                readLife(node.required("server")),
                readLong(node.required("granter")),
                readLong(node.required("renewal")));
    }
}
