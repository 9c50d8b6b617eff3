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

/** What a node knows of the fleet, against which operators' commands are checked. */
public final class FleetView {

    private final Directory directory;
    private final Set<ServiceName> services = new HashSet<>();
    private final Set<Zone> zones;
    private final TableUse use;

    /**
     * Makes a view.
     *
     * @param directory the rows that the node knows
     * @param services the services of the fleet
     * @param zones the availability zones that the settings name, besides those of the members
     * @param use tells what is in use
     */
    public FleetView(Directory directory, List<ServiceSettings> services, Set<Zone> zones, TableUse use) {
        this.directory = Objects.requireNonNull(directory, "directory");
        services.forEach(service -> this.services.add(service.name()));
        this.zones = Set.copyOf(zones);
        this.use = Objects.requireNonNull(use, "use");
    }

    /**
     * Returns the checks of a table's rows.
     *
     * @return the checks, by what is known now
     */
    public TableRules rules() {
        return new TableRules(services, zones(), use);
    }

    private Set<Zone> zones() {
        Set<Zone> all = new HashSet<>(zones);
        directory.members().forEach(member -> all.add(member.zone()));
        return all;
    }

    /**
     * Tells whether something that is to be marked is known.
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
