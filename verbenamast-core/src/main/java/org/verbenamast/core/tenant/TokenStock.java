package org.verbenamast.core.tenant;

import java.util.Optional;
import java.util.TreeMap;

/** Tokens of one tenant, by the time until which they are valid. */
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
        return validAfter(now);
    }

    /** Returns the tokens that are valid for longer than until a time. */
    double validAfter(long at) {
        double total = 0;
        for (double amount : amounts.tailMap(at, false).values()) {
            total += amount;
        }
        return total + ROUNDING;
    }

    /** Takes a number of tokens, at most as many as are valid after a time; those first that expire first. */
    Taken takeOldest(double wanted, long validAfter) {
        double left = wanted;
        long expiresAt = Long.MAX_VALUE;
        for (Long key = amounts.higherKey(validAfter); key != null && left > ROUNDING; key = amounts.higherKey(key)) {
            expiresAt = Math.min(expiresAt, key);
            left -= reduce(key, left);
        }
        return new Taken(wanted, expiresAt);
    }

    /** Takes a number of tokens, at most the total; those first that expire last. */
    Taken takeYoungest(double wanted) {
        double left = wanted;
        long expiresAt = Long.MAX_VALUE;
        while (left > ROUNDING && !amounts.isEmpty()) {
            expiresAt = amounts.lastKey();
            left -= reduce(expiresAt, left);
        }
        return new Taken(wanted, expiresAt);
    }

    private double reduce(long key, double most) {
        double amount = amounts.get(key);
        double taken = Math.min(most, amount);
        if (amount - taken > ROUNDING) {
            amounts.put(key, amount - taken);
        } else {
            amounts.remove(key);
        }
        return taken;
    }

    /** Takes one token, if there is a whole one, and returns until when it is valid. */
    Optional<Long> takeOne(long now) {
        return total(now) >= 1 ? Optional.of(takeOldest(1, now).expiresAt()) : Optional.empty();
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
