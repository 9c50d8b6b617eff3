package org.verbenamast.core.tenant;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Tokens of one tenant, by the time until which they are valid. The youngest are taken first. */
final class TokenStock {

    private static final double ROUNDING = 1e-9;

    private final TreeMap<Long, Double> amounts = new TreeMap<>();
    private double owed;

    /**
     * Tokens that were taken.
     *
     * @param amount the number of tokens
     * @param expiresAt until when all of them are valid, in nanoseconds of the monotonic clock
     */
    record Taken(double amount, long expiresAt) {}

    /** Adds tokens; those that are owed are paid with them first. */
    void add(double amount, long expiresAt) {
        double paid = Math.min(owed, amount);
        owed -= paid;
        if (amount > paid) {
            amounts.merge(expiresAt, amount - paid, Double::sum);
        }
    }

    /** Returns the valid tokens. */
    double total(long now) {
        amounts.headMap(now, true).clear();
        double total = 0;
        for (double amount : amounts.values()) {
            total += amount;
        }
        return total + ROUNDING;
    }

    /** Takes a number of tokens that is at most the total. */
    Taken take(double wanted, long now) {
        double left = wanted;
        long expiresAt = amounts.isEmpty() ? now : amounts.lastKey();
        while (left > ROUNDING && !amounts.isEmpty()) {
            Map.Entry<Long, Double> youngest = amounts.lastEntry();
            expiresAt = youngest.getKey();
            double taken = Math.min(left, youngest.getValue());
            left -= taken;
            if (youngest.getValue() - taken > ROUNDING) {
                amounts.put(expiresAt, youngest.getValue() - taken);
            } else {
                amounts.remove(expiresAt);
            }
        }
        return new Taken(wanted, expiresAt);
    }

    /** Takes one token, if there is a whole one, and returns until when it is valid. */
    Optional<Long> takeOne(long now) {
        return total(now) >= 1 ? Optional.of(take(1, now).expiresAt()) : Optional.empty();
    }

    /** Takes one token now, or from those that come next. */
    void takeOrOwe(long now) {
        if (takeOne(now).isEmpty()) {
            owed++;
        }
    }

    void clear() {
        amounts.clear();
    }
}
