package org.verbenamast.core.keys;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Who owns a range of keys.
 *
 * @param range the keys
 * @param owner the run of a backend server that owns them, or nothing while they wait for an owner
 * @param epoch the fencing token of the owner, above all earlier ones of these keys
 * @param handover the token of the last owner that lets the next one take over its state, or an empty text
 * @param next the run that the keys are to move to, or nothing where they stay
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
     * Returns who owns the keys, or is to own them after a move.
     *
     * @return the run, or nothing
     */
    public Optional<ServerIncarnation> destination() {
        return next.isPresent() ? next : owner;
    }

    KeyAssignment on(KeyRange part) {
        return new KeyAssignment(part, owner, epoch, handover, next);
    }

    KeyAssignment moving(ServerIncarnation to) {
        return new KeyAssignment(range, owner, epoch, handover, Optional.of(to));
    }

    KeyAssignment staying() {
        return new KeyAssignment(range, owner, epoch, handover, Optional.empty());
    }

    KeyAssignment ownedBy(ServerIncarnation life, long newEpoch, String token) {
        return new KeyAssignment(range, Optional.of(life), newEpoch, token, Optional.empty());
    }

    KeyAssignment vacant(String token) {
        return new KeyAssignment(range, Optional.empty(), epoch, token, Optional.empty());
    }

    boolean continues(KeyAssignment before) {
        return before.range.to() + 1 == range.from() && before.on(range).equals(this);
    }
}
