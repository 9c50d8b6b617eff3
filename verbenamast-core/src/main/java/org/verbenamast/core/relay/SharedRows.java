package org.verbenamast.core.relay;

import java.util.HashSet;
import java.util.Set;

import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.gate.crash.ReportedSuspects;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

/** The rows that all nodes share, and what follows from them: members, changed key maps, suspected requests. */
final class SharedRows {

    private final Roster roster = new Roster();
    private final ReportedSuspects suspects = new ReportedSuspects();
    private final RowReplica replica = new RowReplica(this::onRow);
    private final Set<String> changedKeyMaps = new HashSet<>();

    private void onRow(StoredRow row) {
        String key = row.ref().key();
        if (row.ref().table() == RowTable.KEYS) {
            changedKeyMaps.add(key);
        }
        if (row.ref().table() == RowTable.MEMBERS) {
            row.content()
                    .filter(Member.class::isInstance)
                    .ifPresentOrElse(content -> roster.put((Member) content), () -> roster.remove(key));
        }
        if (row.ref().table() == RowTable.CRASHES) {
            suspects.put(key, CrashReports.of(row));
        }
    }

    ReportedSuspects suspects() {
        return suspects;
    }

    Roster roster() {
        return roster;
    }

    RowReplica replica() {
        return replica;
    }

    /** Returns the services whose key maps have changed since the last call. */
    Set<String> takeChangedKeyMaps() {
        Set<String> changed = Set.copyOf(changedKeyMaps);
        changedKeyMaps.clear();
        return changed;
    }
}
