package org.verbenamast.relay.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.client.ClientBudget;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.client.ClientRefusal;

/**
 * The connections of all clients of the process, callers and other nodes: carries out what the {@link ClientBudget}
 * decides, and counts it.
 */
public final class ClientRegister {

    /** A connection of a client. */
    public interface Client {

        /** Closes the connection, as clients hold more than the process can bear. */
        void evict();
    }

    private final ClientBudget<Client> budget;
    private final Map<ClientRefusal, Long> refusals = new EnumMap<>(ClientRefusal.class);

    /**
     * Creates a register without clients.
     *
     * @param limits the limits; none of them may be 0
     */
    public ClientRegister(ClientLimits limits) {
        this.budget = new ClientBudget<>(Objects.requireNonNull(limits, "limits"));
    }

    /**
     * Registers a connection and closes another one, or this one, if there are too many.
     *
     * @param client the connection
     * @param now the monotonic time, in nanoseconds
     */
    public void open(Client client, long now) {
        budget.open(client, now).ifPresent(victim -> evict(victim, ClientRefusal.CONNECTIONS));
    }

    /**
     * Returns whether a connection may hold more.
     *
     * @param client the connection
     * @param more the bytes that it would hold in addition
     * @return whether there is room
     */
    public boolean permits(Client client, long more) {
        return budget.permits(client, more);
    }

    /**
     * Records what a connection holds, and closes connections while all together hold too much.
     *
     * @param client the connection
     * @param bytes the bytes that it holds
     * @param progressed whether its client has made progress
     * @param now the monotonic time, in nanoseconds
     */
    public void record(Client client, long bytes, boolean progressed, long now) {
        budget.record(client, bytes, progressed, now);
        for (Optional<Client> victim = budget.victim(); victim.isPresent(); victim = budget.victim()) {
            evict(victim.get(), ClientRefusal.HELD_BYTES);
        }
    }

    private void evict(Client victim, ClientRefusal reason) {
        count(reason);
        budget.close(victim);
        victim.evict();
    }

    /**
     * Forgets a connection that is closed.
     *
     * @param client the connection
     */
    public void close(Client client) {
        budget.close(client);
    }

    /**
     * Counts a refusal.
     *
     * @param reason why a request was refused or a connection closed
     */
    public void count(ClientRefusal reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    /**
     * Returns how many requests were refused and connections closed for a reason.
     *
     * @param reason the reason
     * @return the number since the start
     */
    public long refusals(ClientRefusal reason) {
        return refusals.getOrDefault(reason, 0L);
    }

    /**
     * Returns what all clients hold.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return budget.heldBytes();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number
     */
    public int connections() {
        return budget.clients();
    }
}
