package org.verbenamast.core.gate.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The incidents at the backend server beside this node, that is, broken connections that have not yet been confirmed or
 * dismissed as crashes.
 */
final class LocalIncidents {

    private static final int ANNOUNCEMENTS_TO_DISMISS = 2;

    private final Map<String, OpenIncident> open = new LinkedHashMap<>();

    private static final class OpenIncident {
        private final Set<Fingerprint> fingerprints = new LinkedHashSet<>();
        private int announcements;
    }

    /** An incident that was confirmed or dismissed as a crash. */
    record ResolvedIncident(String startId, List<Fingerprint> fingerprints, CrashNoticeKind kind) {}

    void add(String startId, Fingerprint fingerprint) {
        OpenIncident incident = open.computeIfAbsent(startId, key -> new OpenIncident());
        incident.fingerprints.add(fingerprint);
        incident.announcements = 0;
    }

    /**
     * Resolves incidents by the start id in an announcement: a different one confirms a crash, the same one twice
     * dismisses it.
     */
    List<ResolvedIncident> onAnnouncement(String startId) {
        List<ResolvedIncident> resolved = new ArrayList<>();
        open.forEach((incarnation, incident) -> {
            if (!incarnation.equals(startId)) {
                resolved.add(resolve(incarnation, incident, CrashNoticeKind.CONFIRMED));
            } else if (++incident.announcements >= ANNOUNCEMENTS_TO_DISMISS) {
                resolved.add(resolve(incarnation, incident, CrashNoticeKind.DISMISSED));
            }
        });
        resolved.forEach(incident -> open.remove(incident.startId()));
        return resolved;
    }

    /** Confirms all incidents as crashes, because the backend server can't be reached. */
    List<ResolvedIncident> onServerUnreachable() {
        List<ResolvedIncident> resolved = new ArrayList<>();
        open.forEach(
                (incarnation, incident) -> resolved.add(resolve(incarnation, incident, CrashNoticeKind.CONFIRMED)));
        open.clear();
        return resolved;
    }

    private static ResolvedIncident resolve(String startId, OpenIncident incident, CrashNoticeKind kind) {
        return new ResolvedIncident(startId, List.copyOf(incident.fingerprints), kind);
    }
}
