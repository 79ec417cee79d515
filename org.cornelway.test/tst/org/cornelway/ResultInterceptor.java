package org.cornelway;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.function.UnaryOperator;

/** Replaces the results of one method of an object. */
public final class ResultInterceptor {
    private ResultInterceptor() {}

    /**
     * Returns a proxy that forwards all calls to an object and replaces the results of one method.
     *
     * @param type interface that the proxy implements
     * @param target object that receives the calls
     * @param methodName name of the method whose results are replaced; applies to all its overloads
     * @param change computes the new result from the original one; runs on the calling thread
     */
    public static <T> T intercept(
            Class<T> type, T target, String methodName, UnaryOperator<Object> change) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> {
                            Object result = invoke(target, method, arguments);
                            return method.getName().equals(methodName)
                                    ? change.apply(result)
                                    : result;
                        }));
    }

    private static Object invoke(Object target, Method method, Object... arguments)
            throws Throwable {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
