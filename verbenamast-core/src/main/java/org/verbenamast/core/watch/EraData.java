package org.verbenamast.core.watch;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.verbenamast.core.check.Checks;

/**
 * The state of a node's way through a new era of the store. A time of 0 means never.
 *
 * @param era the highest era that this node knows
 * @param first whether the era is the first one that this node knows
 * @param learnedAt the monotonic time when this node learned the era, in nanoseconds
 * @param confirmedAt the monotonic time since which the era is confirmed, in nanoseconds
 * @param read the tables that have been read in this era
 */
public record EraData(long era, boolean first, long learnedAt, long confirmedAt, Set<FollowedTable> read) {

    /** The state of a node that has just started. */
    static final EraData INITIAL = new EraData(0, true, 0, 0, Set.of());

    /** Checks the era and copies the set. */
    public EraData {
        Checks.notNegative("era", era);
        read = Set.copyOf(read);
    }

    EraData withEra(long next, long now) {
        return new EraData(next, era == 0 && read.isEmpty(), now, 0, Set.of());
    }

    EraData withTable(FollowedTable table) {
        Set<FollowedTable> tables =
                Stream.concat(read.stream(), Stream.of(table)).collect(Collectors.toSet());
        return new EraData(era, first, learnedAt, confirmedAt, tables);
    }

    EraData withConfirmation(long now) {
        return new EraData(era, first, learnedAt, now, read);
    }
}
