package dewlane.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The only way for an item to start: it becomes ready once its source list is empty. A result strikes its item from the
 * source lists of its destinations once; later copies are dropped. A failure passes to all dependants.
 */
public final class Release {
    /** What became of an item. */
    public enum Result {
        DONE,
        FAILED
    }

    private static final class Item {
        final Set<String> sources = new LinkedHashSet<>();
        final Set<String> destinations = new LinkedHashSet<>();
        Result result;
        boolean known;
    }

    private final Map<String, Item> items = new HashMap<>();
    private final Set<String> ready = new LinkedHashSet<>();

    /** Adds an item with the items it waits for, which may be added later. Adding it again changes nothing. */
    public void add(String id, Collection<String> sources) {
        Item item = items.computeIfAbsent(id, k -> new Item());
        if (item.known) {
            return;
        }
        item.known = true;
        boolean failed = false;
        for (String source : sources) {
            Item from = items.computeIfAbsent(source, k -> new Item());
            if (from.result == Result.FAILED) {
                failed = true;
            } else if (from.result == null) {
                item.sources.add(source);
                from.destinations.add(id);
            }
        }
        if (failed) {
            finish(id, Result.FAILED);
        } else if (item.result == null && item.sources.isEmpty()) {
            ready.add(id);
        }
    }

    /**
     * Takes an item's result, of which only the first counts.
     *
     * @return the dependants that failed with it
     */
    public List<String> finish(String id, Result result) {
        List<String> failed = new ArrayList<>();
        Deque<String> queue = new ArrayDeque<>(List.of(id));
        while (!queue.isEmpty()) {
            String at = queue.poll();
            Item item = items.computeIfAbsent(at, k -> new Item());
            if (item.result != null) {
                continue;
            }
            item.result = result;
            ready.remove(at);
            if (!at.equals(id)) {
                failed.add(at);
            }
            for (String to : item.destinations) {
                Item destination = items.get(to);
                if (result == Result.FAILED) {
                    queue.add(to);
                } else if (destination.sources.remove(at)
                        && destination.sources.isEmpty()
                        && destination.known
                        && destination.result == null) {
                    ready.add(to);
                }
            }
        }
        return failed;
    }

    /** Drops what is held of an item that nothing waits for. */
    public void forget(String id) {
        items.remove(id);
        ready.remove(id);
    }

    /** Ready items, in the order in which they became ready. */
    public Collection<String> ready() {
        return ready;
    }

    /** True if the job has nothing left to wait for. */
    public boolean isReady(String id) {
        return ready.contains(id);
    }
}
