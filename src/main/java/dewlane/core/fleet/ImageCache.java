package dewlane.core.fleet;

import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;

/**
 * The images that a machine's cache is assumed to hold. When the cache is full, the least recently used images are
 * evicted.
 */
public final class ImageCache {
    /** Sizes in GB, most recently used last. */
    private final Object2DoubleLinkedOpenHashMap<String> sizesGb = new Object2DoubleLinkedOpenHashMap<>();

    private double totalGb;

    /** Returns true if the cache is assumed to hold the image. */
    public boolean contains(String image) {
        return sizesGb.containsKey(image);
    }

    /** Records that the machine uses an image, and so holds it. */
    public void use(String image, double sizeGb, double capacityGb) {
        if (!sizesGb.containsKey(image)) {
            totalGb += sizeGb;
        }
        sizesGb.putAndMoveToLast(image, sizeGb);
        while (totalGb > capacityGb && sizesGb.size() > 1) {
            totalGb -= sizesGb.removeFirstDouble();
        }
    }
}
