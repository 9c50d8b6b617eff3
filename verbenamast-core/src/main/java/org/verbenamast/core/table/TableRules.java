package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * The checks of a table's rows against the fleet.
 *
 * @param services the services that exist
 * @param zones the availability zones that exist
 * @param use tells what is in use
 */
public record TableRules(Set<ServiceName> services, Set<Zone> zones, TableUse use) {

    /** Copies the sets. */
    public TableRules {
        services = Set.copyOf(services);
        zones = Set.copyOf(zones);
        Objects.requireNonNull(use, "use");
    }

    /**
     * Checks all rows.
     *
     * @param content the rows
     * @return all faults found, by row in the order of the content; none where the rows are sound
     */
    public List<TableFault> faults(TableContent content) {
        List<TableFault> faults = new ArrayList<>();
        Set<TableScope> seen = new HashSet<>();
        for (int i = 0; i < content.entries().size(); i++) {
            TableEntry entry = content.entries().get(i);
            check(i + 1, entry, faults);
            if (!seen.add(entry.scope().lookup())) {
                faults.add(
                        TableFault.shouldBe(i + 1, "service", entry.scope().toString(), "one row only for each scope"));
            }
        }
        return faults;
    }

    private void check(int row, TableEntry entry, List<TableFault> faults) {
        TableScope scope = entry.scope();
        if (!services.contains(scope.service())) {
            faults.add(TableFault.shouldBe(row, "service", scope.service().value(), "one of " + sorted(services)));
        }
        scope.zone()
                .filter(zone -> !zones.contains(zone))
                .ifPresent(
                        zone -> faults.add(TableFault.shouldBe(row, "zone", zone.name(), "one of " + sorted(zones))));
        long running = use.running(scope);
        if (entry.concurrency().value() < running) {
            faults.add(TableFault.shouldBe(
                    row,
                    "concurrency",
                    entry.concurrency().toString(),
                    "at least the %d requests that run now".formatted(running)));
        }
    }

    private static String sorted(Set<?> names) {
        return names.stream().map(Object::toString).sorted().toList().toString();
    }
}
