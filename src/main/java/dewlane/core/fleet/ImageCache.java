package dewlane.core.fleet;

import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;

/** The images that a machine is taken to hold: the least recently used ones leave a full cache. */
public final class ImageCache {
    /** Sizes in GB, most recently used last. */
    private final Object2DoubleLinkedOpenHashMap<String> sizesGb = new Object2DoubleLinkedOpenHashMap<>();

    private double totalGb;

    /** True if the cache holds the image, as far as is known. */
    public boolean contains(String image) {
        return sizesGb.containsKey(image);
    }

    /** The machine uses an image, and so holds it. */
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
