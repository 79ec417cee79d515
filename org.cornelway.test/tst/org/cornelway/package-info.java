/** Classes shared by the tests of all packages. */
package org.cornelway;
