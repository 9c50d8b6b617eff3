package org.verbenamast.core.gate;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.model.RequestId;

/** The requests that wait for the outcome of another send under the same idempotency key. */
final class DuplicateRequests {

    private final Map<RunKey, Set<RequestId>> waiting = new HashMap<>();

    void add(RunKey run, RequestId id) {
        waiting.computeIfAbsent(run, key -> new LinkedHashSet<>()).add(id);
    }

    void remove(RunKey run, RequestId id) {
        waiting.computeIfPresent(run, (key, ids) -> {
            ids.remove(id);
            return ids.isEmpty() ? null : ids;
        });
    }

    List<RequestId> waitingFor(RunKey run) {
        return List.copyOf(waiting.getOrDefault(run, Set.of()));
    }
}
