package org.verbenamast.core.gate.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The broken connections to the backend server beside this node of which it is not known whether they were crashes. */
final class LocalIncidents {

    private static final int SIGNS_OF_LIFE = 2;

    private final Map<String, Open> open = new LinkedHashMap<>();

    private static final class Open {
        private final Set<Fingerprint> fingerprints = new LinkedHashSet<>();
        private int signsOfLife;
    }

    /** An incident that is decided. */
    record Decided(String start, List<Fingerprint> fingerprints, CrashNoticeKind news) {}

    void add(String start, Fingerprint fingerprint) {
        Open incident = open.computeIfAbsent(start, key -> new Open());
        incident.fingerprints.add(fingerprint);
        incident.signsOfLife = 0;
    }

    /** Decides by an announcement: another start id is a crash, the same one twice is none. */
    List<Decided> announced(String start) {
        List<Decided> decided = new ArrayList<>();
        open.forEach((at, incident) -> {
            if (!at.equals(start)) {
                decided.add(decided(at, incident, CrashNoticeKind.CONFIRMED));
            } else if (++incident.signsOfLife >= SIGNS_OF_LIFE) {
                decided.add(decided(at, incident, CrashNoticeKind.DISMISSED));
            }
        });
        decided.forEach(done -> open.remove(done.start()));
        return decided;
    }

    /** Decides by the backend server's absence: all are crashes. */
    List<Decided> unreachable() {
        List<Decided> decided = new ArrayList<>();
        open.forEach((at, incident) -> decided.add(decided(at, incident, CrashNoticeKind.CONFIRMED)));
        open.clear();
        return decided;
    }

    private static Decided decided(String start, Open incident, CrashNoticeKind news) {
        return new Decided(start, List.copyOf(incident.fingerprints), news);
    }
}
