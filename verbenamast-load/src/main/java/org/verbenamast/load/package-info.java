/** Part of verbenamast. */
package org.verbenamast.load;
