package org.verbenamast.node.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.table.MarkStatus;
import org.verbenamast.core.table.TableRow;
import org.verbenamast.core.trace.Decision;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.RowJson;

/** Writes what operators ask a node. */
final class StatusJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StatusJson() {}

    /**
     * A member as operators see it.
     *
     * @param member the member
     * @param service its service
     * @param zone its availability zone
     * @param status where it stands
     * @param peer where other members reach it
     */
    record MemberItem(String member, String service, String zone, String status, String peer) {}

    /**
     * A node as operators see it.
     *
     * @param joined whether the node is a member that serves
     * @param stopping whether the node is stopping
     * @param slicesOwned how many slices it owns
     * @param running how many requests its backend server has
     * @param tableVersion the version of the operators' table in force here; 0 where there is none
     * @param members the members that it knows
     */
    record Status(
            boolean joined,
            boolean stopping,
            int slicesOwned,
            int running,
            long tableVersion,
            List<MemberItem> members) {}

    /**
     * The owner of a slice as operators see it.
     *
     * @param slice the slice
     * @param owner the owner
     * @param epoch the epoch
     */
    record OwnerItem(String slice, String owner, long epoch) {}

    static String status(NodeCore core) {
        List<MemberItem> members = new ArrayList<>();
        core.directory().members().forEach(member -> members.add(item(member)));
        return write(new Status(
                core.member().is(MemberTag.JOINED),
                core.member().is(MemberTag.STOPPING),
                core.ownership().ownedSliceCount(),
                core.executions().running(),
                core.directory().table().version(),
                members));
    }

    private static MemberItem item(MemberRow member) {
        return new MemberItem(
                member.id().toString(),
                member.service().value(),
                member.zone().name(),
                member.status().name(),
                member.peer().toString());
    }

    static String owners(NodeCore core, HttpRequest request) {
        String key = request.getQueryParameter("key");
        String name = request.getQueryParameter("service");
        List<OwnerItem> owners = new ArrayList<>();
        for (ServiceSettings service : core.directory().services()) {
            boolean asked = name == null || service.name().value().equals(name);
            if (asked && service.keyed()) {
                addOwners(core.directory(), service, key, owners);
            }
        }
        return write(owners);
    }

    private static void addOwners(Directory directory, ServiceSettings service, String key, List<OwnerItem> owners) {
        int first = key == null ? 0 : service.sliceOf(key).number();
        int last = key == null ? service.slices() - 1 : first;
        for (int number = first; number <= last; number++) {
            SliceId slice = new SliceId(service.name(), number);
            SliceGrant grant = directory.grant(slice);
            owners.add(new OwnerItem(slice.toString(), grant.owner().toString(), grant.epoch()));
        }
    }

    static String table(NodeCore core) {
        Row row = core.directory().row(TableRow.KEY);
        return new String(RowJson.writeReply(row == null ? List.of() : List.of(row)), StandardCharsets.UTF_8);
    }

    static String marks(NodeCore core) {
        List<MarkStatus> marks = new ArrayList<>();
        core.directory()
                .marks()
                .all()
                .forEach(mark -> marks.add(new MarkStatus(mark, core.marks().isDurable(mark))));
        return new String(OperatorJson.write(marks), StandardCharsets.UTF_8);
    }

    static String decisions(NodeCore core, HttpRequest request) {
        String subject = request.getQueryParameter("subject");
        List<Decision> decisions = core.decisions()
                .find(decision -> subject == null || decision.subject().contains(subject));
        return write(decisions);
    }

    private static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record should always be writable", e);
        }
    }
}
