package org.verbenamast.core.client;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The budget of the process for what its clients make it hold, callers and other nodes alike: decides who is refused
 * and who is closed when they hold too much together. What a client holds up to {@link #ORDINARY_BYTES} is drawn from
 * the whole budget, more only from a part of it, so that large clients can't take the room of ordinary ones.
 *
 * @param <C> the type of the clients
 */
public final class ClientBudget<C> {

    /** What an ordinary client holds at most: a head of the longest kind or a part of a body in progress, in bytes. */
    public static final long ORDINARY_BYTES = 64 * 1024;

    /** Share of the budget that is reserved for ordinary clients, as a divisor. */
    private static final long RESERVED_DIVISOR = 4;

    private final ClientLimits limits;
    private final Map<C, ClientHold> holds = new HashMap<>();
    private long heldBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param limits the limits; none of them may be 0
     */
    public ClientBudget(ClientLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /**
     * Handles a new client. If there is no room, the client that has made no progress for longest is named; a client
     * that has made progress in this moment keeps its connection.
     *
     * @param client the client
     * @param now the monotonic time, in nanoseconds
     * @return the client that has to be closed, which may be the new one, or nothing
     */
    public Optional<C> open(C client, long now) {
        Optional<C> victim = holds.size() < limits.connections()
                ? Optional.empty()
                : stalest(now).or(() -> Optional.of(client));
        holds.put(client, new ClientHold(0, now));
        return victim;
    }

    private Optional<C> stalest(long now) {
        return holds.entrySet().stream()
                .filter(entry -> entry.getValue().progressAt() < now)
                .min(Comparator.comparingLong(entry -> entry.getValue().progressAt()))
                .map(Map.Entry::getKey);
    }

    /**
     * Returns whether a client may hold more. A refused client has to be told that nothing was done, or be closed.
     *
     * @param client the client
     * @param more the bytes that it would hold in addition
     * @return whether there is room
     */
    public boolean permits(C client, long more) {
        ClientHold hold = holds.get(client);
        long own = (hold == null ? 0 : hold.bytes()) + more;
        long limit =
                own <= ORDINARY_BYTES ? limits.heldBytes() : limits.heldBytes() - limits.heldBytes() / RESERVED_DIVISOR;
        // A single large request is served in calm, however small the budget is.
        return heldBytes + more <= limit || heldBytes <= ORDINARY_BYTES;
    }

    /**
     * Records what a client holds now.
     *
     * @param client the client, which is open
     * @param bytes the bytes that it holds
     * @param progressed whether it has read or sent anything that counts since the last call
     * @param now the monotonic time, in nanoseconds
     */
    public void record(C client, long bytes, boolean progressed, long now) {
        ClientHold before = holds.get(client);
        if (before != null) {
            heldBytes += bytes - before.bytes();
            holds.put(client, new ClientHold(bytes, progressed ? now : before.progressAt()));
        }
    }

    /**
     * Returns who has to be closed because all clients together hold too much: of those that hold more than their
     * share, the one that has made no progress for longest; of several, the largest.
     *
     * @return the client, or nothing while the budget is kept
     */
    public Optional<C> victim() {
        if (heldBytes <= limits.heldBytes() || holds.size() < 2) {
            return Optional.empty();
        }
        long share = limits.heldBytes() / holds.size();
        Comparator<Map.Entry<C, ClientHold>> stalest =
                Comparator.comparingLong(entry -> entry.getValue().progressAt());
        return holds.entrySet().stream()
                .filter(entry -> entry.getValue().bytes() > share)
                .min(stalest.thenComparing(entry -> -entry.getValue().bytes()))
                .map(Map.Entry::getKey);
    }

    /**
     * Forgets a client that is closed.
     *
     * @param client the client
     */
    public void close(C client) {
        ClientHold hold = holds.remove(client);
        if (hold != null) {
            heldBytes -= hold.bytes();
        }
    }

    /**
     * Returns what all clients hold.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns how many clients are open.
     *
     * @return the number
     */
    public int clients() {
        return holds.size();
    }
}
