package org.verbenamast.core.keys;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The owner of a range of keys.
 *
 * @param range the keys
 * @param owner the server incarnation that owns them; empty while they have no owner
 * @param epoch the owner's fencing token; higher than all earlier tokens of these keys
 * @param handover the token with which the owner takes over the previous owner's state; empty if there is none
 * @param next the server incarnation that the keys are moving to; empty if they are not moving
 */
public record KeyAssignment(
        KeyRange range,
        Optional<ServerIncarnation> owner,
        long epoch,
        String handover,
        Optional<ServerIncarnation> next) {

    /** Checks the fields. */
    public KeyAssignment {
        Objects.requireNonNull(range, "range");
        Objects.requireNonNull(owner, "owner");
        Checks.notNegative("epoch", epoch);
        Objects.requireNonNull(handover, "handover");
        Objects.requireNonNull(next, "next");
    }

    /**
     * Returns the owner of the keys once a pending move is complete.
     *
     * @return the server incarnation; empty if the keys have no owner and are not moving
     */
    public Optional<ServerIncarnation> destination() {
        return next.isPresent() ? next : owner;
    }

    KeyAssignment withRange(KeyRange part) {
        return new KeyAssignment(part, owner, epoch, handover, next);
    }

    KeyAssignment movingTo(ServerIncarnation to) {
        return new KeyAssignment(range, owner, epoch, handover, Optional.of(to));
    }

    KeyAssignment withoutMove() {
        return new KeyAssignment(range, owner, epoch, handover, Optional.empty());
    }

    KeyAssignment ownedBy(ServerIncarnation incarnation, long newEpoch, String token) {
        return new KeyAssignment(range, Optional.of(incarnation), newEpoch, token, Optional.empty());
    }

    KeyAssignment withoutOwner(String token) {
        return new KeyAssignment(range, Optional.empty(), epoch, token, Optional.empty());
    }

    boolean isContinuationOf(KeyAssignment before) {
        return before.range.to() + 1 == range.from() && before.withRange(range).equals(this);
    }
}
