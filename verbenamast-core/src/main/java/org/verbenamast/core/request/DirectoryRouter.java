package org.verbenamast.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.ownership.SliceGrant;

/** Routes by the rows that the node knows and by what it has sent itself. */
public final class DirectoryRouter implements Router {

    private final CoreSettings settings;
    private final Directory directory;
    private final Random random;
    private final Map<MemberId, Set<RequestId>> inFlight = new HashMap<>();

    /**
     * Makes a router that has sent nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     */
    public DirectoryRouter(CoreSettings settings, Directory directory) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.random = new Random(settings.seed());
    }

    @Override
    public MemberId route(CallerRequest request) {
        ServiceSettings service = settings.serviceOf(request.service()).orElseThrow();
        return service.keyed() ? ownerOf(service, request.key()) : anyOf(service);
    }

    private MemberId ownerOf(ServiceSettings service, String key) {
        SliceGrant grant = directory.grant(service.sliceOf(key));
        MemberRow owner = directory.member(grant.owner());
        boolean serves =
                owner != null && !owner.status().over() && !directory.marks().isClosed(owner);
        return serves ? owner.id() : MemberId.NONE;
    }

    private MemberId anyOf(ServiceSettings service) {
        List<MemberId> members = directory.activeMembers(service.name()).stream()
                .filter(member -> !directory.marks().isOut(member))
                .filter(member -> directory.table().weights().of(member) > 0)
                .map(MemberRow::id)
                .toList();
        if (members.isEmpty()) {
            return MemberId.NONE;
        }
        return ServerChoice.TWO_CHOICES.choose(members, this::inFlight, random);
    }

    private int inFlight(MemberId member) {
        return inFlight.getOrDefault(member, Set.of()).size();
    }

    @Override
    public void sent(RequestId id, MemberId to) {
        inFlight.computeIfAbsent(to, member -> new HashSet<>()).add(id);
    }

    @Override
    public void left(RequestId id, MemberId at) {
        inFlight.computeIfPresent(at, (member, ids) -> {
            ids.remove(id);
            return ids.isEmpty() ? null : ids;
        });
    }

    /**
     * Lists the requests that a member has from this node.
     *
     * @param member the member
     * @return the requests' identities
     */
    public List<RequestId> at(MemberId member) {
        return List.copyOf(inFlight.getOrDefault(member, Set.of()));
    }
}
