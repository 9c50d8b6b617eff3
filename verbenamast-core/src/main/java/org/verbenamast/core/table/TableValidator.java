package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;

/**
 * Validates the rows of the table against the fleet.
 *
 * @param services the services that exist
 * @param zones the availability zones that exist
 * @param usage counts the running requests
 */
public record TableValidator(Set<ServiceName> services, Set<Zone> zones, LimitUsage usage) {

    /** Validates the components and copies the sets. */
    public TableValidator {
        services = Set.copyOf(services);
        zones = Set.copyOf(zones);
        Objects.requireNonNull(usage, "usage");
    }

    /**
     * Validates all rows.
     *
     * @param content the rows
     * @return all faults, in the order of the rows; empty if all rows are valid
     */
    public List<TableFault> validate(TableContent content) {
        List<TableFault> faults = new ArrayList<>();
        Set<TableScope> scopes = new HashSet<>();
        for (int i = 0; i < content.entries().size(); i++) {
            TableEntry entry = content.entries().get(i);
            check(i + 1, entry, faults);
            if (!scopes.add(entry.scope().normalized())) {
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
        long running = usage.running(scope);
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
