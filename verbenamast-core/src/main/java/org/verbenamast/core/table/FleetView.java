package org.verbenamast.core.table;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;

/** The services, zones and backend servers that this node knows, against which operators' commands are validated. */
public final class FleetView {

    private final Directory directory;
    private final Set<ServiceName> services = new HashSet<>();
    private final Set<Zone> zones;
    private final LimitUsage usage;

    /**
     * Creates a view.
     *
     * @param directory the rows of the table service that this node knows
     * @param services the services of the fleet
     * @param zones the availability zones listed in the settings; those of the members are added
     * @param usage counts the running requests
     */
    public FleetView(Directory directory, List<ServiceSettings> services, Set<Zone> zones, LimitUsage usage) {
        this.directory = Objects.requireNonNull(directory, "directory");
        services.forEach(service -> this.services.add(service.name()));
        this.zones = Set.copyOf(zones);
        this.usage = Objects.requireNonNull(usage, "usage");
    }

    /**
     * Returns a validator of table rows.
     *
     * @return a validator for the fleet as it is known now
     */
    public TableValidator validator() {
        return new TableValidator(services, zones(), usage);
    }

    private Set<Zone> zones() {
        Set<Zone> all = new HashSet<>(zones);
        directory.members().forEach(member -> all.add(member.zone()));
        return all;
    }

    /**
     * Returns whether the subject of a mark is known.
     *
     * @param subject an availability zone or a backend server
     * @return whether a member or the settings name it
     */
    public boolean knows(MarkSubject subject) {
        return subject.kind() == MarkKind.ZONE
                ? zones().contains(new Zone(subject.name()))
                : directory.members().stream().map(FleetView::server).anyMatch(subject::equals);
    }

    private static MarkSubject server(MemberRow member) {
        return MarkSubject.of(new ServerName(member.id().node()));
    }
}
