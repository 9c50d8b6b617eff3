package org.verbenamast.core.manifest.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.verbenamast.core.manifest.CallerKeyDigest;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.manifest.Tenant;

/** Finds what differs between two manifests. Keys are counted and never shown. */
public final class ManifestDifference {

    private final List<ManifestChange> changes = new ArrayList<>();

    private ManifestDifference() {}

    /**
     * Compares two manifests.
     *
     * @param from the manifest in force
     * @param to the manifest that is to replace it
     * @return the differences by routes, services, tenants and limits; empty where the two agree but for the version
     */
    public static List<ManifestChange> between(Manifest from, Manifest to) {
        ManifestDifference difference = new ManifestDifference();
        difference.compareEntries("route", from.routes(), to.routes(), Route::name, difference::compareRoutes);
        difference.compareEntries(
                "service", from.services(), to.services(), ServiceRules::name, difference::compareServices);
        difference.compareEntries("tenant", from.tenants(), to.tenants(), Tenant::name, difference::compareTenants);
        difference.compareLimits(from.limits(), to.limits());
        return difference.changes;
    }

    private <T> void compareEntries(
            String kind, List<T> from, List<T> to, Function<T, String> name, BiConsumer<T, T> comparison) {
        Map<String, T> before = index(from, name);
        Map<String, T> after = index(to, name);
        before.forEach((key, entry) -> {
            if (!after.containsKey(key)) {
                changes.add(new ManifestChange(kind + " " + key, "is removed"));
            }
        });
        after.forEach((key, entry) -> {
            if (before.containsKey(key)) {
                comparison.accept(before.get(key), entry);
            } else {
                changes.add(new ManifestChange(kind + " " + key, "is added"));
            }
        });
    }

    private static <T> Map<String, T> index(List<T> entries, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        entries.forEach(entry -> byName.put(name.apply(entry), entry));
        return byName;
    }

    private void compare(String place, String what, Object from, Object to) {
        if (!from.equals(to)) {
            changes.add(new ManifestChange(place, "%s: %s becomes %s".formatted(what, from, to)));
        }
    }

    private void compareRoutes(Route from, Route to) {
        String place = "route " + to.name();
        compare(place, "host", from.host(), to.host());
        compare(place, "prefix", from.prefix(), to.prefix());
        compare(place, "kind", from.kind(), to.kind());
        compare(place, "time-out in ms", from.timeoutMillis(), to.timeoutMillis());
        compare(place, "latency objective in ms", from.objectiveMillis(), to.objectiveMillis());
        compare(place, "priority", from.priority(), to.priority());
        compare(place, "servers for one request", from.maxAttempts(), to.maxAttempts());
        compare(place, "public", from.isPublic(), to.isPublic());
        compare(place, "services", shares(from), shares(to));
    }

    private static String shares(Route route) {
        return String.join(
                ", ",
                route.splits().stream()
                        .map(split -> split.service() + " " + split.weight())
                        .toList());
    }

    private void compareServices(ServiceRules from, ServiceRules to) {
        String place = "service " + to.name();
        compare(place, "connections of a server", from.maxConnections(), to.maxConnections());
        compare(place, "requests a second to a cold server", from.coldPerSecond(), to.coldPerSecond());
        compare(place, "divided by keys", from.keyed(), to.keyed());
    }

    private void compareTenants(Tenant from, Tenant to) {
        String place = "tenant " + to.name();
        compare(place, "priority", optional(from), optional(to));
        compare(place, "requests a second", from.ratePerSecond(), to.ratePerSecond());
        compare(place, "burst", from.burst(), to.burst());
        long added = countMissing(to.keys(), from.keys());
        long removed = countMissing(from.keys(), to.keys());
        if (added + removed > 0) {
            changes.add(new ManifestChange(place, "keys: %d added, %d withdrawn".formatted(added, removed)));
        }
    }

    private static Object optional(Tenant tenant) {
        return tenant.priority().isPresent() ? tenant.priority().getAsInt() : "that of the route";
    }

    private static long countMissing(List<CallerKeyDigest> keys, List<CallerKeyDigest> others) {
        return keys.stream().filter(key -> !others.contains(key)).count();
    }

    private void compareLimits(RequestLimits from, RequestLimits to) {
        compare("limits", "head in bytes", from.maxHeaderBytes(), to.maxHeaderBytes());
        compare("limits", "body in bytes", from.maxBodyBytes(), to.maxBodyBytes());
        compare("limits", "time for a head in ms", from.headerTimeoutMillis(), to.headerTimeoutMillis());
        compare("limits", "idle time in ms", from.idleTimeoutMillis(), to.idleTimeoutMillis());
    }
}
