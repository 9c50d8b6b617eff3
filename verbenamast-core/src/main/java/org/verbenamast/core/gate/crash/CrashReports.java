package org.verbenamast.core.gate.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.verbenamast.core.rows.RowContent;
import org.verbenamast.core.rows.StoredRow;

/**
 * The row in which a node reports crashes of the backend server beside it.
 *
 * @param reports the reports, the latest one last
 */
public record CrashReports(List<CrashReport> reports) implements RowContent {

    /** Most reports that a row keeps; the earliest ones are dropped. */
    private static final int MAX_REPORTS = 16;

    /** A row without reports. */
    static final CrashReports NONE = new CrashReports(List.of());

    /** Keeps no more reports than a row may have. */
    public CrashReports {
        reports = List.copyOf(reports.subList(Math.max(0, reports.size() - MAX_REPORTS), reports.size()));
    }

    /**
     * Returns the reports in a row.
     *
     * @param row the row
     * @return its reports; none if it does not exist or can't be read
     */
    public static CrashReports of(StoredRow row) {
        return row.content()
                .filter(CrashReports.class::isInstance)
                .map(CrashReports.class::cast)
                .orElse(NONE);
    }

    /** Returns the row with one more report; a report of the same crash is extended. */
    CrashReports with(CrashReport report) {
        List<CrashReport> next = new ArrayList<>(reports);
        for (int i = 0; i < next.size(); i++) {
            if (next.get(i).server().equals(report.server())) {
                next.set(i, next.get(i).mergedWith(report));
                return new CrashReports(next);
            }
        }
        next.add(report);
        return new CrashReports(next);
    }

    /** Returns the row without the requests that have proved to be harmless, and without reports that name none. */
    CrashReports without(Predicate<Fingerprint> acquitted) {
        return new CrashReports(reports.stream()
                .map(report -> report.without(acquitted))
                .filter(report -> !report.suspects().isEmpty())
                .toList());
    }
}
