package org.verbenamast.core.manifest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Distributes the requests of each route among its services in proportion to their weights, by smooth weighted round
 * robin. The choice does not regard whether a service has room: what a service has no room for is refused, so that a
 * shortage does not spread to the other services and shift the proportions.
 */
public final class ServiceRotation {

    private final DoubleSupplier random;
    /** How far each service of a route is behind its share, in weights, in the order of the route's splits. */
    private final Map<String, double[]> creditsByRoute = new HashMap<>();

    private long manifestVersion;

    /**
     * Creates a rotation without routes.
     *
     * @param random a source of numbers that are evenly distributed from 0 (inclusive) to 1 (exclusive); draws where
     *     each route starts, so that not all nodes begin with the same service
     */
    public ServiceRotation(DoubleSupplier random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Selects the service of a route's next request.
     *
     * @param route the route
     * @param version the version of the manifest that has the route; a new version starts the rotation again
     * @return the service, or nothing if no service of the route has a weight above zero
     */
    public Optional<String> next(Route route, long version) {
        List<Split> splits = route.splits();
        double total = splits.stream().mapToDouble(Split::weight).sum();
        if (total == 0) {
            return Optional.empty();
        }
        if (splits.size() == 1) {
            return Optional.of(splits.get(0).service());
        }
        if (version != manifestVersion) {
            manifestVersion = version;
            creditsByRoute.clear();
        }
        double[] credits = creditsByRoute.computeIfAbsent(route.name(), name -> start(splits, total));
        int selected = mostBehind(splits, credits);
        credits[selected] -= total;
        return Optional.of(splits.get(selected).service());
    }

    /** Starts a rotation within the turn of a service that is drawn by weight. */
    private double[] start(List<Split> splits, double total) {
        double[] credits = new double[splits.size()];
        double drawn = random.getAsDouble() * total;
        int first = 0;
        while (first < splits.size() - 1 && drawn >= splits.get(first).weight()) {
            drawn -= splits.get(first).weight();
            first++;
        }
        if (splits.get(first).weight() > 0) {
            credits[first] = total;
        }
        return credits;
    }

    private static int mostBehind(List<Split> splits, double[] credits) {
        int selected = -1;
        for (int i = 0; i < credits.length; i++) {
            long weight = splits.get(i).weight();
            credits[i] += weight;
            if (weight > 0 && (selected < 0 || credits[i] > credits[selected])) {
                selected = i;
            }
        }
        return selected;
    }
}
