package org.verbenamast.load;

import java.util.List;
import java.util.Objects;

/**
 * What came of a load.
 *
 * @param all the figures of the whole load
 * @param services the figures of each service
 */
public record LoadReport(LoadFigures all, List<LoadFigures> services) {

    /** Checks the figures and copies the list. */
    public LoadReport {
        Objects.requireNonNull(all, "all");
        services = List.copyOf(services);
    }
}
