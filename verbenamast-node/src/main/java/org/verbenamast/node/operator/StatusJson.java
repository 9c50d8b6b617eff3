package org.verbenamast.node.operator;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.trace.Decision;

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
     * @param members the members that it knows
     */
    record Status(boolean joined, boolean stopping, int slicesOwned, int running, List<MemberItem> members) {}

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
                core.ownership().owned(),
                core.serving().running(),
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

    static String owners(NodeCore core) {
        List<OwnerItem> owners = new ArrayList<>();
        core.directory().rows().forEach(row -> {
            if (row.value() instanceof ChunkRow chunk) {
                for (int i = 0; i < chunk.grants().size(); i++) {
                    String slice = chunk.service() + "#" + chunk.chunk() + "." + i;
                    owners.add(new OwnerItem(
                            slice,
                            chunk.grants().get(i).owner().toString(),
                            chunk.grants().get(i).epoch()));
                }
            }
        });
        return write(owners);
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
